package capacity

import (
	"io"
	"time"
)

const (
	settleTime         = 5 * time.Second
	taskTime           = 117 * time.Second // run time of a task at the planned size
	runningInstances   = 2                 // instances of the zone
	plannedOwned       = 28                // workers owned by an instance
	plannedOthers      = 1084              // listed workers that don't run
	plannedStarts      = 2                 // per second at an instance
	serviceCount       = 10
	replicasPerService = 14
	tasksPerSubmission = 50 // at most
)

// processLoad is the size and load of a set of processes.
type processLoad struct {
	workers, listed, replicas int
	starts                    int // tasks per second in the zone
}

// process measures real processes: two instances of a zone beside stand-ins.
func (b *Bench) process(w io.Writer) error {
	sweeps := []struct {
		name  string
		sizes []float64
		load  func(x int) processLoad
	}{
		{"owned workers, idle", []float64{2, 8, 16, 28}, func(x int) processLoad { return processLoad{workers: runningInstances * x} }},
		{"other workers listed, idle", []float64{0, 300, 600, 1100}, func(x int) processLoad { return processLoad{workers: 4, listed: x} }},
		{"starts/s of an instance that owns 28", []float64{0, 1, 2, 4}, func(x int) processLoad { return busyLoad(x, 0) }},
	}
	var all []series
	for _, sweep := range sweeps {
		memory := series{grows: sweep.name, value: "resident MiB", xs: sweep.sizes}
		processor := series{grows: sweep.name, value: "processor time, % of a core", xs: sweep.sizes}
		bytes := series{grows: sweep.name, value: "bytes/s by system calls, both directions", xs: sweep.sizes}
		for _, x := range sweep.sizes {
			c, err := b.measureProcesses(sweep.load(int(x)))
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
	return b.plannedSize(w)
}

func busyLoad(starts, listed int) processLoad {
	return processLoad{workers: runningInstances * plannedOwned, listed: listed, starts: runningInstances * starts, replicas: replicasPerService}
}

// plannedSize measures the processes with the workers and load that an instance
// has at the planned size, and with the complete instance list.
func (b *Bench) plannedSize(w io.Writer) error {
	var rows [][]string
	for _, l := range []struct {
		name string
		load processLoad
	}{
		{"idle", processLoad{workers: runningInstances * plannedOwned, listed: plannedOthers}},
		{"busy, 2 starts/s", busyLoad(plannedStarts, plannedOthers)},
	} {
		c, err := b.measureProcesses(l.load)
		if err != nil {
			return err
		}
		rows = append(rows, []string{l.name, number(c.resident), number(c.processor), number(c.bytes)})
	}
	return table(w, "Real processes at the planned size: 28 owned workers, 1,140 listed", []string{"load", "resident MiB", "processor time, % of a core", "bytes/s"}, rows)
}

// measureProcesses starts a site, applies a load and measures its instances.
func (b *Bench) measureProcesses(l processLoad) (cost, error) {
	s, err := b.newSite()
	if err != nil {
		return cost{}, err
	}
	defer s.stop()
	if err := s.startAll(l.workers, runningInstances, l.listed); err != nil {
		return cost{}, err
	}
	services := 0
	if l.replicas > 0 {
		services = serviceCount
	}
	time.Sleep(settleTime)
	if err := s.apply(l.workers, services, l.replicas); err != nil {
		return cost{}, err
	}
	if err := s.queueInitialTasks(l.starts); err != nil {
		return cost{}, err
	}
	stop := s.startSubmitting(l.starts)
	defer stop()
	time.Sleep(settleTime)
	return s.measureCost(b.window)
}

// queueInitialTasks submits as many tasks as run on average, with evenly spaced
// remaining run times.
func (s *site) queueInitialTasks(starts int) error {
	const serial = 1 << 20
	n := starts * int(taskTime/time.Second)
	for i := 0; i < n; i += tasksPerSubmission {
		remaining := taskTime * time.Duration(n-i) / time.Duration(n)
		if err := s.submit(serial+i, min(tasksPerSubmission, n-i), remaining); err != nil {
			return err
		}
	}
	return nil
}

// startSubmitting submits tasks every second until stop is called.
func (s *site) startSubmitting(starts int) (stop func()) {
	if starts == 0 {
		return func() {}
	}
	stopping := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			_ = s.submit(i, starts, taskTime) // refused tasks show in the number of starts
			select {
			case <-stopping:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}
