package replay

import (
	"rhubarbstall.example/sched/baseline"
	"rhubarbstall.example/sched/engine"
	"rhubarbstall.example/sched/model"
)

func newEngine(name string) model.Engine {
	if name == "baseline" {
		return baseline.New()
	}
	return engine.New()
}
