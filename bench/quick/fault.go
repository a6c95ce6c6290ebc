package quick

import (
	"slices"
	"time"
)

// Sizes of the faults.
const (
	slowdown      = 10
	dyingPart     = 3 // one of three
	silentPart    = 2 // of the busy connections of each pair
	replacedPart  = 5 // one of five
	replacedEvery = 300 * time.Millisecond
	listLag       = 5 * time.Second
	shortListLag  = 3 * time.Second
	cutZone       = "c"
)

// slowWorker makes one worker ten times slower.
func slowWorker(f *fake, _ policy) {
	f.workers[0].factor = slowdown
}

// dyingWorkers ends a third of the workers at once; the list tells later.
func dyingWorkers(f *fake, p policy) {
	order := f.random.Perm(len(f.workers))
	dying := len(order) / dyingPart
	for _, i := range order[:dying] {
		f.die(f.workers[i])
	}
	left := slices.Sorted(slices.Values(order[dying:]))
	f.after(shortListLag, func() { p.list(left) })
}

// cutOff cuts one availability zone off from the others.
func cutOff(f *fake, _ policy) {
	f.cut = cutZone
}

// silentConnections takes the other end of a quarter of the connections away.
func silentConnections(f *fake, _ policy) {
	f.silence(silentPart)
}

// laggingList replaces every fifth worker, one after the other, and the list
// tells of each only later.
func laggingList(f *fake, p policy) {
	count := len(f.workers) / replacedPart
	for i := range count {
		f.after(time.Duration(i)*replacedEvery, func() { replace(f, p, i*replacedPart) })
	}
}

func replace(f *fake, p policy, i int) {
	f.workers[i].refuses = true
	f.addWorker().zone = f.workers[i].zone
	listed := accepting(f)
	f.after(listLag, func() { p.list(listed) })
}

// accepting returns the workers that take requests.
func accepting(f *fake) []int {
	var live []int
	for i, w := range f.workers {
		if !w.refuses {
			live = append(live, i)
		}
	}
	return live
}
