package scenario

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rhubarbstall.example/standin/fault"
	"rhubarbstall.example/standin/relay"
	"rhubarbstall.example/wire/platform"
)

// cmdPlatform makes the platform refuse all connections ("down") or accept them again
// ("up"). The platform keeps its stored data, as the real service does.
func (s *scenario) cmdPlatform(_ *testscript.TestScript, words []string) error {
	if len(words) != 1 || (words[0] != "down" && words[0] != "up") {
		return fmt.Errorf("want one argument: up or down")
	}
	down := words[0] == "down"
	return s.cluster.Control("platform", "refuse", fault.Setting{Enabled: &down})
}

// cmdLoseAnswers makes a stand-in execute the next calls but drop their answers.
func (s *scenario) cmdLoseAnswers(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 2)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(a.names[1])
	if err != nil {
		return err
	}
	return s.cluster.Control(a.names[0], "lose-answers", fault.Setting{Responses: n, Path: a.text("path", "")})
}

// cmdFault enables a fault of a stand-in or, with "off", disables it.
func (s *scenario) cmdFault(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 2)
	if err != nil {
		return err
	}
	if err := a.check("off", "for"); err != nil {
		return err
	}
	on := !a.has("off")
	d, err := a.duration("for", 0)
	if err != nil {
		return err
	}
	return s.cluster.Control(a.names[0], a.names[1], fault.Setting{Enabled: &on, Millis: int64(d / time.Millisecond)})
}

// cmdLeave makes workers or runners leave. Each reports this itself at once, and the VM
// list of the platform reports it after its lag.
func (s *scenario) cmdLeave(_ *testscript.TestScript, words []string) error {
	for _, name := range words {
		if err := s.cluster.Control(name, "leave", fault.Setting{}); err != nil {
			return err
		}
		if err := s.cluster.SetVMState(name, platform.VMLeaving); err != nil {
			return err
		}
	}
	return nil
}

// cmdCut cuts a link of a relay in one or both directions. A cut in one direction restores
// the other one.
func (s *scenario) cmdCut(_ *testscript.TestScript, words []string) error {
	return s.controlLink("cut", words)
}

// cmdHeal restores a link of a relay. It restores both directions even if one is given.
func (s *scenario) cmdHeal(_ *testscript.TestScript, words []string) error {
	return s.controlLink("heal", words)
}

// controlLink makes the control call "cut" or "heal" for a link. The process of the relay
// has the name of the link.
func (s *scenario) controlLink(action string, words []string) error {
	if len(words) == 0 || len(words) > 2 {
		return fmt.Errorf("want the name of a link and at most one direction")
	}
	req := relay.CutRequest{Link: words[0]}
	if len(words) == 2 {
		req.Direction = words[1]
	}
	return s.cluster.Control(words[0], action, req)
}
