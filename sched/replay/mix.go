package replay

import "rhubarbstall.example/sched/model"

// span is a range of values, ends included.
type span struct{ low, high int64 }

// mix describes the jobs of a kind in a generated trace.
type mix struct {
	kind    KindSpec
	jobType model.JobType
	// load is the share of the fleet's processor time that the kind asks for, in
	// thousandths.
	load  int64
	tasks span
	// cores and memory per task; memory is drawn per core.
	cores, memoryPerCore span
	accelerators         int64
	runMS                span
	// early is the share of the jobs that arrive at once, in percent; the others
	// arrive evenly.
	early         int64
	checkpointing bool
	noRepeat      bool
}

// deployment describes a generated trace.
type deployment struct {
	name            string
	seed            uint64
	workers, rack   int
	cores, memoryMB int64
	accelerated     int
	hoursMS         int64
	departments     []DepartmentSpec
	mixes           []mix
}

var deployments = []deployment{
	{
		name: "cooperative", seed: 11, workers: 50, rack: 6, cores: 32, memoryMB: 128 << 10, hoursMS: 10 * 3600_000,
		departments: []DepartmentSpec{
			{"head", 2}, {"regina", 1}, {"regina/fields", 1}, {"regina/mills", 2}, {"saskatoon", 1}, {"winnipeg", 1}, {"calgary", 1},
		},
		mixes: []mix{
			{
				kind:    KindSpec{Name: "full_plan", Urgency: 20, PatienceMS: 12 * 3600_000, FloorPercent: 25, Checkpoint: true},
				jobType: model.Batch, load: 500, tasks: span{4, 24}, cores: span{4, 12}, memoryPerCore: span{1500, 4500},
				runMS: span{240_000, 1_200_000}, early: 70, checkpointing: true,
			},
			{
				kind:    KindSpec{Name: "batch_proof", Urgency: 20, PatienceMS: 2 * 3600_000, FloorPercent: 10},
				jobType: model.Batch, load: 300, tasks: span{8, 60}, cores: span{1, 4}, memoryPerCore: span{1000, 4000},
				runMS: span{120_000, 600_000}, early: 40, noRepeat: true,
			},
			{
				kind:    KindSpec{Name: "joint_plan", Urgency: 20, PatienceMS: 12 * 3600_000, FloorPercent: 5, Checkpoint: true},
				jobType: model.Gang, load: 50, tasks: span{6, 20}, cores: span{4, 8}, memoryPerCore: span{2000, 4000},
				runMS: span{300_000, 900_000}, early: 30, checkpointing: true,
			},
			{
				kind:    KindSpec{Name: "check", Urgency: 90, PatienceMS: 2000, FloorPercent: 5},
				jobType: model.Batch, load: 3, tasks: span{1, 3}, cores: span{1, 2}, memoryPerCore: span{1000, 3000},
				runMS: span{2000, 8000},
			},
			{
				kind:    KindSpec{Name: "portal", Urgency: 60, PatienceMS: 60_000, SpreadRacks: true},
				jobType: model.Service, load: 30, tasks: span{6, 8}, cores: span{2, 2}, memoryPerCore: span{2000, 3000},
				runMS: span{4 * 3600_000, 4 * 3600_000}, early: 100,
			},
		},
	},
	{
		name: "kesarwala", seed: 23, workers: 50, rack: 8, cores: 32, memoryMB: 64 << 10, accelerated: 10, hoursMS: 10 * 3600_000,
		departments: []DepartmentSpec{
			{"head", 1}, {"rajkot", 2}, {"rajkot/looms", 1}, {"rajkot/prints", 1}, {"jamnagar", 1}, {"bhavnagar", 1},
		},
		mixes: []mix{
			{
				kind:    KindSpec{Name: "full_render", Urgency: 30, PatienceMS: 6 * 3600_000, FloorPercent: 25, Checkpoint: true},
				jobType: model.Batch, load: 450, tasks: span{4, 24}, cores: span{4, 12}, memoryPerCore: span{1000, 2200},
				runMS: span{240_000, 1_000_000}, early: 70, checkpointing: true,
			},
			{
				kind:    KindSpec{Name: "accelerated_render", Urgency: 30, PatienceMS: 6 * 3600_000, FloorPercent: 5, Checkpoint: true},
				jobType: model.Batch, load: 30, tasks: span{2, 8}, cores: span{4, 4}, memoryPerCore: span{1000, 2000}, accelerators: 1,
				runMS: span{300_000, 900_000}, early: 50, checkpointing: true,
			},
			{
				kind:    KindSpec{Name: "variation", Urgency: 20, PatienceMS: 3 * 3600_000, FloorPercent: 10, Preempt: true},
				jobType: model.Batch, load: 350, tasks: span{8, 60}, cores: span{1, 4}, memoryPerCore: span{1000, 2200},
				runMS: span{90_000, 480_000}, early: 50,
			},
			{
				kind:    KindSpec{Name: "preview", Urgency: 95, PatienceMS: 2000, FloorPercent: 5},
				jobType: model.Batch, load: 3, tasks: span{1, 3}, cores: span{1, 2}, memoryPerCore: span{800, 2000},
				runMS: span{2000, 8000},
			},
			{
				kind:    KindSpec{Name: "storefront", Urgency: 60, PatienceMS: 60_000, SpreadRacks: true},
				jobType: model.Service, load: 30, tasks: span{6, 8}, cores: span{2, 2}, memoryPerCore: span{1500, 2000},
				runMS: span{4 * 3600_000, 4 * 3600_000}, early: 100,
			},
		},
	},
}
