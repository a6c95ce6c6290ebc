package capacity

import (
	"io"
	"time"
)

const (
	settleTime  = 5 * time.Second
	taskTime    = 117 * time.Second // of a task at the planned size
	processZone = 2                 // instances that run
	ownedAtSize = 28
	otherAtSize = 1084 // listed, that don't run
	startAtSize = 2
	servicesOf  = 10
	replicasOf  = 14
	waveTasks   = 50 // in one submission
)

// load is one state of a set of processes.
type load struct {
	workers, listed, replicas int
	starts                    int // tasks a second at the zone
}

// process measures real processes: two instances of a zone with stand-ins.
func (b *Bench) process(w io.Writer) error {
	sweeps := []struct {
		name  string
		sizes []float64
		load  func(x int) load
	}{
		{"owned workers, idle", []float64{2, 8, 16, 28}, func(x int) load { return load{workers: processZone * x} }},
		{"other workers listed, idle", []float64{0, 300, 600, 1100}, func(x int) load { return load{workers: 4, listed: x} }},
		{"starts/s of an instance that owns 28", []float64{0, 1, 2, 4}, func(x int) load { return busy(x, 0) }},
	}
	var all []series
	for _, sweep := range sweeps {
		memory := series{size: sweep.name, value: "resident MiB", xs: sweep.sizes}
		processor := series{size: sweep.name, value: "processor time, % of a core", xs: sweep.sizes}
		bytes := series{size: sweep.name, value: "bytes/s by system calls, both directions", xs: sweep.sizes}
		for _, x := range sweep.sizes {
			c, err := b.processes(sweep.load(int(x)))
			if err != nil {
				return err
			}
			memory.ys = append(memory.ys, c.resident)
			processor.ys = append(processor.ys, c.processor)
			bytes.ys = append(bytes.ys, c.bytes)
		}
		all = append(all, memory, processor, bytes)
	}
	if err := seriesTable(w, "Real processes: mean of two instances of a zone", all); err != nil {
		return err
	}
	return b.planned(w)
}

func busy(starts, listed int) load {
	return load{workers: processZone * ownedAtSize, listed: listed, starts: processZone * starts, replicas: replicasOf}
}

// planned measures the processes at what falls on an instance at the planned
// size, with the whole instance list.
func (b *Bench) planned(w io.Writer) error {
	var rows [][]string
	for _, l := range []struct {
		name string
		load load
	}{
		{"idle", load{workers: processZone * ownedAtSize, listed: otherAtSize}},
		{"busy, 2 starts/s", busy(startAtSize, otherAtSize)},
	} {
		c, err := b.processes(l.load)
		if err != nil {
			return err
		}
		rows = append(rows, []string{l.name, number(c.resident), number(c.processor), number(c.bytes)})
	}
	return table(w, "Real processes at the planned size: 28 owned workers, 1,140 listed", []string{"load", "resident MiB", "processor time, % of a core", "bytes/s"}, rows)
}

// processes starts a site, loads it and measures its instances.
func (b *Bench) processes(l load) (cost, error) {
	s, err := b.newSite()
	if err != nil {
		return cost{}, err
	}
	defer s.end()
	if err := s.boot(l.workers, processZone, l.listed); err != nil {
		return cost{}, err
	}
	services := 0
	if l.replicas > 0 {
		services = servicesOf
	}
	time.Sleep(settleTime)
	if err := s.apply(l.workers, services, l.replicas); err != nil {
		return cost{}, err
	}
	if err := s.fill(l.starts); err != nil {
		return cost{}, err
	}
	stop := s.submitAt(l.starts)
	defer stop()
	time.Sleep(settleTime)
	return s.cost(b.window)
}

// fill queues as many tasks as run on average, with what is left of them.
func (s *site) fill(starts int) error {
	const serial = 1 << 20
	n := starts * int(taskTime/time.Second)
	for i := 0; i < n; i += waveTasks {
		left := taskTime * time.Duration(n-i) / time.Duration(n)
		if err := s.submit(serial+i, min(waveTasks, n-i), left); err != nil {
			return err
		}
	}
	return nil
}

// submitAt queues tasks every second until it is stopped.
func (s *site) submitAt(starts int) (stop func()) {
	if starts == 0 {
		return func() {}
	}
	ending := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			_ = s.submit(i, starts, taskTime) // what is refused shows in the starts
			select {
			case <-ending:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return func() {
		close(ending)
		<-ended
	}
}
