package cluster

import (
	"fmt"
	"net/http"
	"time"

	"rhubarbstall.example/wire/platform"
)

// StartPlatform starts the platform under the name "platform".
func (c *Cluster) StartPlatform(args ...string) error {
	// The address is fixed, so that the platform can be started again.
	if c.platform == "" {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		c.platform = addr
	}
	_, err := c.start("platform", "sim-platform", true,
		append([]string{"-addr", c.platform, "-history", c.historyFile("platform")}, args...)...)
	return err
}

// StartWorker starts a worker and adds it to the platform's list.
func (c *Cluster) StartWorker(name, zone, rack string, args ...string) error {
	p, err := c.start(name, "sim-worker", true,
		append([]string{"-id", name, "-zone", zone, "-rack", rack, "-history", c.historyFile(name)}, args...)...)
	if err != nil {
		return err
	}
	return c.SetVM(platform.VM{
		ID: name, Role: platform.RoleWorker, AvailabilityZone: zone, Rack: rack,
		Addr: p.Ready.Addr, State: platform.VMLive,
	})
}

// StartRunner starts a runner and adds it to the platform's list.
func (c *Cluster) StartRunner(name, zone string, args ...string) error {
	p, err := c.start(name, "sim-runner", true,
		append([]string{"-id", name, "-history", c.historyFile(name)}, args...)...)
	if err != nil {
		return err
	}
	return c.SetVM(platform.VM{
		ID: name, Role: platform.RoleRunner, AvailabilityZone: zone, Addr: p.Ready.Addr, State: platform.VMLive,
	})
}

// StartRelay starts a relay with one link of the same name and returns the
// address at which the target is reached through it.
func (c *Cluster) StartRelay(link, target string) (string, error) {
	addr, err := freeAddr()
	if err != nil {
		return "", err
	}
	_, err = c.start(link, "sim-relay", true,
		"-link", link+"="+addr+">"+target, "-history", c.historyFile(link))
	return addr, err
}

// PlatformAddr returns the address of the platform.
func (c *Cluster) PlatformAddr() string { return c.platform }

// SetVM adds or changes an entry of the platform's list.
func (c *Cluster) SetVM(vm platform.VM) error {
	c.mu.Lock()
	c.vms[vm.ID] = vm
	c.mu.Unlock()
	return c.Control("platform", "vms", vm)
}

// SetVMState changes the state of an entry of the platform's list.
func (c *Cluster) SetVMState(id string, state platform.VMState) error {
	c.mu.Lock()
	vm, ok := c.vms[id]
	c.mu.Unlock()
	if !ok {
		return fmt.Errorf("no VM %q", id)
	}
	vm.State = state
	return c.SetVM(vm)
}

// controlTimeout bounds a control call.
const controlTimeout = 5 * time.Second

// Control makes a control call on a stand-in.
func (c *Cluster) Control(name, call string, body any) error {
	p, err := c.Process(name)
	if err != nil {
		return err
	}
	return post(fmt.Sprintf("http://%s/control/%s", p.Ready.Control, call), body)
}

// RemoveVM removes an entry of the platform's list.
func (c *Cluster) RemoveVM(id string) error {
	p, err := c.Process("platform")
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/control/vms/%s", p.Ready.Control, id), nil)
	if err != nil {
		return err
	}
	return do(req)
}
