package controller_test

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/record"
)

const testManifest = `
zones:
  - {name: a, capacity: {processors: 16, memory: 32GiB}}
groups:
  - {name: red, share: 50%}
  - {name: blue, share: 50%}
`

// TestFaults runs the schedules of testdata/faults. Each file begins with a
// comment on the failure that it guards against; each further line is a time,
// a command and its arguments. Every task must end once, none may run in two
// places, and no group may exceed its limit. The whole session, every event
// and record, must equal the golden file beside the schedule (go test
// ./controller -run TestFaults -update).
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.txt")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			runSchedule(t, file)
		})
	}
}

func runSchedule(t *testing.T, file string) {
	is := is.New(t)
	h := newHarness(t, 1, 3, 4)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	f, err := os.Open(file)
	is.NoErr(err)
	defer f.Close()
	began := h.now
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		words := strings.Fields(line)
		at, err := time.ParseDuration(words[0])
		is.NoErr(err)
		h.run(began.Add(at).Sub(h.now))
		h.logf("# %s", strings.Join(words[1:], " "))
		h.runCommand(words[1], words[2:])
	}
	if !h.runUntilSettled(3 * time.Minute) {
		t.Fatalf("tasks left over:\n%s", h.anyRunning().c.Dump(h.now))
	}
	checkRecordedRuns(t, h)
	h.logTaskEnds()
	goldie.New(t, goldie.WithFixtureDir("testdata/faults"), goldie.WithNameSuffix(".golden")).
		Assert(t, strings.TrimSuffix(filepath.Base(file), ".txt"), []byte(h.transcript.String()))
}

// logTaskEnds ends the transcript with the final state and the number of runs
// of each task.
func (h *harness) logTaskEnds() {
	s := h.anyRunning().c.State()
	for _, account := range h.ledger().Tasks {
		v, _ := s.Task(account.Task)
		h.logf("task %s %v attempt=%d runs=%d", account.Task, v.State, v.Attempt, len(account.Runs))
	}
}

// runCommand executes one line of a schedule.
func (h *harness) runCommand(verb string, args []string) {
	switch verb {
	case "submit": // instance, count, group, command
		n, err := strconv.Atoi(args[1])
		if err != nil {
			h.t.Fatal(err)
		}
		h.submitted += n
		h.feed(h.instances[args[0]], controller.Submit{ID: 2, Tasks: newTasks(n, args[2], strings.Join(args[3:], " "))})
	case "large": // instance, processors, group, command
		processors, err := strconv.ParseInt(args[1], 10, 64)
		if err != nil {
			h.t.Fatal(err)
		}
		h.submitted++
		task := newTasks(1, "large-"+args[2], strings.Join(args[3:], " "))[0]
		task.Group = args[2]
		task.Need.Processors = processors
		h.feed(h.instances[args[0]], controller.Submit{ID: 4, Tasks: []record.Task{task}})
	case "kill":
		delete(h.instances, args[0])
	case "boot":
		h.boot(args[0])
	case "leave":
		h.feed(h.instances[args[0]], controller.Leave{})
	case "pause":
		h.instances[args[0]].paused = true
	case "resume":
		h.instances[args[0]].paused = false
	case "cut":
		h.cutLinks[[2]string{args[0], args[1]}] = true
	case "heal":
		delete(h.cutLinks, [2]string{args[0], args[1]})
	case "down":
		h.logDown = true
	case "up":
		h.logDown = false
	case "lose":
		part, err := strconv.ParseFloat(args[0], 64)
		if err != nil {
			h.t.Fatal(err)
		}
		h.answerLoss = part
	case "stall":
		h.stalledWorkers[args[0]] = true
	case "go":
		delete(h.stalledWorkers, args[0])
	case "die":
		h.deadWorkers[args[0]] = true
	case "expire":
		h.oldest = uint64(len(h.streams[controller.ZoneStream("a")]))
	case "cancel":
		h.feed(h.instances[args[0]], controller.Cancel{ID: 3, Tasks: args[1:]})
	case "wait":
	default:
		h.t.Fatalf("no verb %q", verb)
	}
}

// checkRecordedRuns checks that every task that ran is recorded with at least as
// many attempts as it had runs, and that no runs overlapped.
func checkRecordedRuns(t *testing.T, h *harness) {
	t.Helper()
	s := h.anyRunning().c.State()
	for _, account := range h.ledger().Tasks {
		v, ok := s.Task(account.Task)
		if !ok {
			t.Errorf("task %s ran and isn't on record", account.Task)
			continue
		}
		if account.Overlap {
			t.Errorf("task %s ran in two places", account.Task)
		}
		if int(v.Attempt) < len(account.Runs) {
			t.Errorf("task %s ran %d times, on record are %d attempts", account.Task, len(account.Runs), v.Attempt)
		}
	}
}
