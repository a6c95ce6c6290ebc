package quick

import (
	"slices"
	"time"
)

// Parameters of the faults.
const (
	slowWorkerFactor = 10
	dyingDivisor     = 3 // one worker in three dies
	silentPerPair    = 2 // busy connections that turn silent, for each pair of instance and worker
	replacedDivisor  = 5 // one worker in five is replaced
	replacedEvery    = 300 * time.Millisecond
	listLag          = 5 * time.Second
	shortListLag     = 3 * time.Second
	cutZone          = "c"
)

// slowWorker slows one worker down by a factor of ten.
func slowWorker(f *fake, _ policy) {
	f.workers[0].slowdown = slowWorkerFactor
}

// dyingWorkers kills a third of the workers at once. The policy gets the
// updated list of workers after a lag.
func dyingWorkers(f *fake, p policy) {
	order := f.random.Perm(len(f.workers))
	dying := len(order) / dyingDivisor
	for _, i := range order[:dying] {
		f.killWorker(f.workers[i])
	}
	remaining := slices.Sorted(slices.Values(order[dying:]))
	f.after(shortListLag, func() { p.setWorkers(remaining) })
}

// cutOff partitions one availability zone from the others.
func cutOff(f *fake, _ policy) {
	f.cut = cutZone
}

// silentConnections makes a quarter of the busy connections silent: nothing
// that is sent on them is answered.
func silentConnections(f *fake, _ policy) {
	f.silenceConnections(silentPerPair)
}

// laggingList replaces every fifth worker, one after the other. The policy
// gets the updated list of workers after a lag.
func laggingList(f *fake, p policy) {
	count := len(f.workers) / replacedDivisor
	for i := range count {
		f.after(time.Duration(i)*replacedEvery, func() { replace(f, p, i*replacedDivisor) })
	}
}

func replace(f *fake, p policy, i int) {
	f.workers[i].refuses = true
	f.addWorker().zone = f.workers[i].zone
	listed := accepting(f)
	f.after(listLag, func() { p.setWorkers(listed) })
}

// accepting returns the workers that accept requests.
func accepting(f *fake) []int {
	var live []int
	for i, w := range f.workers {
		if !w.refuses {
			live = append(live, i)
		}
	}
	return live
}
