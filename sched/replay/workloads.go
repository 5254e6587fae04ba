package replay

import "rhubarbstall.example/sched/model"

// valueRange is a range of values, including both ends.
type valueRange struct{ low, high int64 }

// workload describes the jobs of a kind in a generated trace.
type workload struct {
	kind    KindSpec
	jobType model.JobType
	// loadPerMille is the processor time that the kind needs, in thousandths of the
	// fleet's processor time.
	loadPerMille int64
	tasks        valueRange
	// cores is the number of cores per task; memory is drawn per core.
	cores, memoryMBPerCore valueRange
	accelerators           int64
	runMS                  valueRange
	// immediatePercent is the share of the jobs that arrive at the start of the trace;
	// the other arrivals are spread evenly.
	immediatePercent int64
	checkpointing    bool
	noRepeat         bool
}

// deployment describes the fleet, the departments and the workloads of a generated
// trace. cores and memoryMB are those of each worker.
type deployment struct {
	name                    string
	seed                    uint64
	workers, workersPerRack int
	cores, memoryMB         int64
	acceleratedWorkers      int
	durationMS              int64
	departments             []DepartmentSpec
	workloads               []workload
}

var deployments = []deployment{
	{
		name: "cooperative", seed: 11, workers: 50, workersPerRack: 6, cores: 32, memoryMB: 128 << 10, durationMS: 10 * 3600_000,
		departments: []DepartmentSpec{
			{"head", 2}, {"regina", 1}, {"regina/fields", 1}, {"regina/mills", 2}, {"saskatoon", 1}, {"winnipeg", 1}, {"calgary", 1},
		},
		workloads: []workload{
			{
				kind:    KindSpec{Name: "full_plan", Urgency: 20, PatienceMS: 12 * 3600_000, FloorPercent: 25, Checkpoint: true},
				jobType: model.Batch, loadPerMille: 500, tasks: valueRange{4, 24}, cores: valueRange{4, 12}, memoryMBPerCore: valueRange{1500, 4500},
				runMS: valueRange{240_000, 1_200_000}, immediatePercent: 70, checkpointing: true,
			},
			{
				kind:    KindSpec{Name: "batch_proof", Urgency: 20, PatienceMS: 2 * 3600_000, FloorPercent: 10},
				jobType: model.Batch, loadPerMille: 300, tasks: valueRange{8, 60}, cores: valueRange{1, 4}, memoryMBPerCore: valueRange{1000, 4000},
				runMS: valueRange{120_000, 600_000}, immediatePercent: 40, noRepeat: true,
			},
			{
				kind:    KindSpec{Name: "joint_plan", Urgency: 20, PatienceMS: 12 * 3600_000, FloorPercent: 5, Checkpoint: true},
				jobType: model.Gang, loadPerMille: 50, tasks: valueRange{6, 20}, cores: valueRange{4, 8}, memoryMBPerCore: valueRange{2000, 4000},
				runMS: valueRange{300_000, 900_000}, immediatePercent: 30, checkpointing: true,
			},
			{
				kind:    KindSpec{Name: "check", Urgency: 90, PatienceMS: 2000, FloorPercent: 5},
				jobType: model.Batch, loadPerMille: 3, tasks: valueRange{1, 3}, cores: valueRange{1, 2}, memoryMBPerCore: valueRange{1000, 3000},
				runMS: valueRange{2000, 8000},
			},
			{
				kind:    KindSpec{Name: "portal", Urgency: 60, PatienceMS: 60_000, SpreadRacks: true},
				jobType: model.Service, loadPerMille: 30, tasks: valueRange{6, 8}, cores: valueRange{2, 2}, memoryMBPerCore: valueRange{2000, 3000},
				runMS: valueRange{4 * 3600_000, 4 * 3600_000}, immediatePercent: 100,
			},
		},
	},
	{
		name: "kesarwala", seed: 23, workers: 50, workersPerRack: 8, cores: 32, memoryMB: 64 << 10, acceleratedWorkers: 10, durationMS: 10 * 3600_000,
		departments: []DepartmentSpec{
			{"head", 1}, {"rajkot", 2}, {"rajkot/looms", 1}, {"rajkot/prints", 1}, {"jamnagar", 1}, {"bhavnagar", 1},
		},
		workloads: []workload{
			{
				kind:    KindSpec{Name: "full_render", Urgency: 30, PatienceMS: 6 * 3600_000, FloorPercent: 25, Checkpoint: true},
				jobType: model.Batch, loadPerMille: 450, tasks: valueRange{4, 24}, cores: valueRange{4, 12}, memoryMBPerCore: valueRange{1000, 2200},
				runMS: valueRange{240_000, 1_000_000}, immediatePercent: 70, checkpointing: true,
			},
			{
				kind:    KindSpec{Name: "accelerated_render", Urgency: 30, PatienceMS: 6 * 3600_000, FloorPercent: 5, Checkpoint: true},
				jobType: model.Batch, loadPerMille: 30, tasks: valueRange{2, 8}, cores: valueRange{4, 4}, memoryMBPerCore: valueRange{1000, 2000}, accelerators: 1,
				runMS: valueRange{300_000, 900_000}, immediatePercent: 50, checkpointing: true,
			},
			{
				kind:    KindSpec{Name: "variation", Urgency: 20, PatienceMS: 3 * 3600_000, FloorPercent: 10, Preempt: true},
				jobType: model.Batch, loadPerMille: 350, tasks: valueRange{8, 60}, cores: valueRange{1, 4}, memoryMBPerCore: valueRange{1000, 2200},
				runMS: valueRange{90_000, 480_000}, immediatePercent: 50,
			},
			{
				kind:    KindSpec{Name: "preview", Urgency: 95, PatienceMS: 2000, FloorPercent: 5},
				jobType: model.Batch, loadPerMille: 3, tasks: valueRange{1, 3}, cores: valueRange{1, 2}, memoryMBPerCore: valueRange{800, 2000},
				runMS: valueRange{2000, 8000},
			},
			{
				kind:    KindSpec{Name: "storefront", Urgency: 60, PatienceMS: 60_000, SpreadRacks: true},
				jobType: model.Service, loadPerMille: 30, tasks: valueRange{6, 8}, cores: valueRange{2, 2}, memoryMBPerCore: valueRange{1500, 2000},
				runMS: valueRange{4 * 3600_000, 4 * 3600_000}, immediatePercent: 100,
			},
		},
	},
}
