package scenario

import "testing"

// Each script is a test of its own, so that it can be named where a test is named.
// The longest ones are first, since the tests run in this order, several at a time.

// Guards against a zone that never gets a scheduler again after all its workers were replaced.
func TestP9WorkersReplaced(t *testing.T) { runDaemon(t, "p9-workers-replaced") }

// Guards against tasks of a dead worker that are lost, or started again too early.
func TestP2WorkerDies(t *testing.T) { runDaemon(t, "p2-worker-dies") }

// Guards against a paused worker whose tasks go on while they run elsewhere.
func TestP2FrozenWorker(t *testing.T) { runDaemon(t, "p2-frozen-worker") }

// Guards against a deployment that fails while nothing is wrong.
func TestSmoke(t *testing.T) { runDaemon(t, "01-smoke") }

// Guards against a client that does not work with a real daemon, though it does with its fake.
func TestClient(t *testing.T) { runDaemon(t, "02-client") }

// Guards against VMs that get more work than they hold under a flood of work that is misdeclared.
func TestP1Capacity(t *testing.T) { runDaemon(t, "p1-capacity") }

// Guards against a paused zone scheduler that goes on with its old role and starts tasks a second time.
func TestP2FrozenScheduler(t *testing.T) { runDaemon(t, "p2-frozen-scheduler") }

// Guards against a zone scheduler that is cut from the platform and starts what another one starts too.
func TestP2SchedulerCut(t *testing.T) { runDaemon(t, "p2-scheduler-cut") }

// Guards against callers that get a part of an answer, or that of another request.
func TestP3Answers(t *testing.T) { runDaemon(t, "p3-answers") }

// Guards against requests that ran and are reported as not run.
func TestP4NotRun(t *testing.T) { runDaemon(t, "p4-not-run") }

// Guards against a request marked no_repeat that runs again after a lost answer, a death or a resubmission.
func TestP5Once(t *testing.T) { runDaemon(t, "p5-once") }

// Guards against a claim whose answer is late and that is made a second time elsewhere.
func TestP5OneWayCut(t *testing.T) { runDaemon(t, "p5-one-way-cut") }

// Guards against requests marked no_repeat that run without a record.
func TestP5PlatformDown(t *testing.T) { runDaemon(t, "p5-platform-down") }

// Guards against new work on VMs that are leaving.
func TestP6Leaving(t *testing.T) { runDaemon(t, "p6-leaving") }

// Guards against requests that a graceful shutdown cuts off.
func TestP7Shutdown(t *testing.T) { runDaemon(t, "p7-shutdown") }

// Guards against settings that are late or revert.
func TestP8Settings(t *testing.T) { runDaemon(t, "p8-settings") }

// Guards against jobs that are lost with the entry VMs.
func TestP9AllEntriesReplaced(t *testing.T) { runDaemon(t, "p9-all-entries-replaced") }

// Guards against jobs and outcomes that are lost with an answer.
func TestP9LostAnswers(t *testing.T) { runDaemon(t, "p9-lost-answers") }

// Guards against a zone that stops working when its scheduler dies in an outage of the platform.
func TestP9PlatformOutage(t *testing.T) { runDaemon(t, "p9-platform-outage") }

// Guards against a zone that stops working when it loses contact with another.
func TestP9ZonesCut(t *testing.T) { runDaemon(t, "p9-zones-cut") }

// Guards against slots of a runner that two entry VMs use while their owner changes.
func TestP1EntryJoins(t *testing.T) { runDaemon(t, "p1-entry-joins") }
