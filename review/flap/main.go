//go:build review

// Command flap plays a worker that goes down and up by turns for some seconds, and checks that no
// accepted job is shown as failed although none of its runs has ended failed (rule LOST).
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/kit"
)

const (
	workerCount = 10
	flapping    = 9 // number of the worker that goes down and up; the only one of kind b
	jobCount    = 6
	length      = 40 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "", "the program under test")
	dir := flag.String("dir", "", "temporary folder")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.String("trouble", "flap", "flap: a worker goes down and up by turns; none")
	period := flag.Duration("period", 1400*time.Millisecond, "of going down and up")
	flapTime := flag.Duration("for", 6500*time.Millisecond, "how long the worker goes down and up")
	flag.Parse()
	record, err := kit.NewRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	store := kit.NewStore(record)
	ledger := kit.NewLedger(record)
	fleet := kit.NewFleet("pool", store, ledger, record)
	fleet.Outcome = func(string, uint64) kit.Outcome { return kit.Outcome{Length: 1500 * time.Millisecond} }
	zones := []string{"za", "zb", "zc"}
	for i := range workerCount {
		kind := "a"
		if i == flapping {
			kind = "b"
		}
		fleet.Add(&kit.Machine{Name: fmt.Sprintf("m-%d", i), Zone: zones[i%3], Labels: []string{kind, fmt.Sprintf("r-%d", i/5)}, Cores: 32000, Memory: 125000})
	}
	cloud, err := kit.OpenCloud(fleet, nil)
	if err != nil {
		record.Printf("can't run: %v", err)
		return 2
	}
	site := &kit.Site{Program: *program, Dir: *dir, Record: record, Store: store, Cloud: cloud, Zones: zones}
	kit.PutConfig(store, 3, "pool", 4)
	defer site.Stop()
	if err := site.Start(3); err != nil {
		record.Printf("can't run: %v", err)
		return 2
	}
	if !site.AwaitReady(15 * time.Second) {
		record.Printf("can't run: not all instances are ready")
		return 2
	}
	time.Sleep(3 * time.Second)
	clients := kit.NewClients(site)
	begun := time.Now()
	go func() { // other work
		for time.Since(begun) < length-8*time.Second {
			go clients.Submit(kit.NewID(), []kit.Step{{Count: 4, Processors: 2000, Memory: 1000, Estimate: 1500}})
			time.Sleep(400 * time.Millisecond)
		}
	}()
	if *trouble != "none" {
		go flap(fleet.Machines[flapping], record, *period, *flapTime)
	}
	var ids []string
	for range jobCount {
		id := kit.NewID()
		if clients.Submit(id, []kit.Step{{Count: 2, Processors: 2000, Memory: 1000, Estimate: 1500, Constraints: "b"}}) {
			ids = append(ids, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	failed := make(map[string]bool)
	completed := make(map[string]bool)
	for time.Since(begun) < length && len(completed)+len(failed) < len(ids) {
		time.Sleep(500 * time.Millisecond)
		for _, id := range ids {
			if failed[id] || completed[id] {
				continue
			}
			state, _ := clients.State(id)
			completed[id] = state == "completed"
			if state == "failed" && ledger.FailedRuns(id) == 0 {
				failed[id] = true
				record.Break("LOST: job %s was accepted and is shown as failed; none of its runs has ended failed", id)
			}
			if !completed[id] {
				delete(completed, id)
			}
		}
	}
	starts, dones, failedRuns := ledger.Counts()
	record.Printf("%d starts, %d ends done, %d failed; of %d jobs for kind b %d completed", starts, dones, failedRuns, len(ids), len(completed))
	if len(ids) < jobCount {
		record.Printf("can't judge: jobs weren't accepted")
		return 2
	}
	if broken := record.Broken(); len(broken) > 0 {
		fmt.Printf("%d breaks, the first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// flap lets a machine go down and up, half of each period each.
func flap(m *kit.Machine, record *kit.Record, period, d time.Duration) {
	record.Printf("TROUBLE: machine %s goes down and up by turns", m.Name)
	for end := time.Now().Add(d); time.Now().Before(end); {
		m.Down("down")
		time.Sleep(period / 2)
		m.Up()
		time.Sleep(period / 2)
	}
	record.Printf("TROUBLE ends: machine %s stays up", m.Name)
}
