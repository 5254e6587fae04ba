package app

import (
	"rhubarbstall.example/sched/baseline"
	"rhubarbstall.example/sched/model"
)

// newEngine returns the engine of a new term as zone scheduler.
func newEngine() model.Engine {
	return baseline.New()
}
