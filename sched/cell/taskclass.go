package cell

import "time"

const (
	// maxTaskClasses bounds the classes that are compared. Deployments have a few dozen images and queues; tasks of further
	// ones are neither compared nor named as neighbors.
	maxTaskClasses = 256
	// maxClassNameBytes bounds the memory of a class. Tasks with a longer image name are not compared.
	maxClassNameBytes = 256
	// minClassIdle is how long no task of a class may have started before another class takes its place, so that
	// thousands of images that are used once do not displace those in regular use.
	minClassIdle = time.Minute
)

// classID identifies a task class in this term; 0 stands for none. It is never used again for another class.
type classID uint32

// classKey names the tasks that are expected to behave alike: those of an image, or those of a queue if the step names
// no image.
type classKey struct{ image, queue string }

func (g *group) classKey() classKey {
	if g.spec.Image != "" {
		return classKey{image: g.spec.Image}
	}
	return classKey{queue: g.queue.Name}
}

// String returns the name of the class for operators.
func (k classKey) String() string {
	if k.image != "" {
		return k.image
	}
	return "queue " + k.queue
}

// taskClass is what is known of the tasks of a class.
type taskClass struct {
	id       classID
	key      classKey
	lastUsed time.Time
	// durations has the effects of neighbors on the durations of runs, and tails those on the tail latency of serving
	// runs; nil without samples.
	durations, tails *effectModel
	tailBatch        tailBatch
	// partners holds the classes that it is kept apart from.
	partners []partner
}

// model returns the model of one effect, nil without samples.
func (k *taskClass) model(e effect) *effectModel {
	if e == effectOnTail {
		return k.tails
	}
	return k.durations
}

// classTable holds a bounded number of task classes.
type classTable struct {
	byKey  map[classKey]*taskClass
	byID   map[classID]*taskClass
	lastID classID
	// fullUntil is the earliest time at which a class of the full table may be replaced.
	fullUntil time.Time
}

func newClassTable() classTable {
	return classTable{byKey: make(map[classKey]*taskClass), byID: make(map[classID]*taskClass)}
}

// use returns the class of a group, which it adds if necessary; nil if the table is full or the name too long.
func (t *classTable) use(now time.Time, g *group) *taskClass {
	key := g.classKey()
	k := t.byKey[key]
	if k == nil {
		if len(key.image)+len(key.queue) > maxClassNameBytes || !t.makeRoom(now) {
			return nil
		}
		t.lastID++
		k = &taskClass{id: t.lastID, key: key}
		t.byKey[key], t.byID[k.id] = k, k
	}
	k.lastUsed = now
	return k
}

// makeRoom removes the class that was idle for longest if the table is full. It reports whether there is room.
func (t *classTable) makeRoom(now time.Time) bool {
	if len(t.byKey) < maxTaskClasses {
		return true
	}
	if now.Before(t.fullUntil) {
		return false
	}
	var oldest *taskClass
	for _, k := range t.byKey {
		if len(k.partners) == 0 && (oldest == nil || k.lastUsed.Before(oldest.lastUsed) || (k.lastUsed.Equal(oldest.lastUsed) && k.id < oldest.id)) {
			oldest = k
		}
	}
	if oldest == nil {
		t.fullUntil = now.Add(minClassIdle)
		return false
	}
	if t.fullUntil = oldest.lastUsed.Add(minClassIdle); now.Before(t.fullUntil) {
		return false
	}
	delete(t.byKey, oldest.key)
	delete(t.byID, oldest.id)
	return true
}
