package app

import (
	"rhubarbstall.example/sched/engine"
	"rhubarbstall.example/sched/model"
)

// newEngine returns the scheduling engine for a new term as zone scheduler.
func newEngine() model.Engine {
	return engine.New()
}
