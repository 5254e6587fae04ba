package replay

import (
	"fmt"
	"os"
	"testing"
	"time"

	"rhubarbstall.example/sched/engine"
	"rhubarbstall.example/sched/model"
)

var dumped bool

type dbgEngine struct{ *engine.Engine }

func (d dbgEngine) Decide(now time.Time, l int) model.Decisions {
	x := d.Engine.Decide(now, l)
	if ms := now.Sub(epoch).Milliseconds(); ms > 1200_000 && ms < 14400_000 {
		d.Debug()
		if ms > 6000_000 && !dumped {
			dumped = true
			fmt.Println(d.Dump())
		}
	}
	return x
}

func TestDbg(t *testing.T) {
	name := os.Getenv("T")
	tr := Generate(name)
	r, err := Run(tr, dbgEngine{engine.New()}, 1<<51)
	fmt.Println(name, err, r.Packing)
	for i, s := range []string{"quarantined", "gang hold", "single hold", "preempt hold", "kept", "other"} {
		fmt.Printf("  %s %.4f\n", s, float64(engine.Dbg[i])/float64(engine.Dbg[6])/float64(tr.Capacity().MilliCPU))
	}
	fmt.Println("  reserved", float64(engine.Dbg[7])/float64(engine.Dbg[6]))
}
