//go:build review

// Command gang plays gangs whose owner is killed, and a worker that crashes while the next owner
// takes over, and checks that each gang that has ended done isn't started again and completes.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/kit"
)

const (
	workerCount = 8
	gangSize    = 4
	jobInterval = 150 * time.Millisecond
	killAt      = 8 * time.Second
	crashAfter  = 700 * time.Millisecond
	crashTime   = 4500 * time.Millisecond
	lastJobAt   = 14 * time.Second
	length      = 55 * time.Second
	calmAfter   = 5 * time.Second // after the last disruption
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "", "the program under test")
	dir := flag.String("dir", "", "temporary folder")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.String("trouble", "both", "both: the owner is killed and a worker crashes; kill; crash; none")
	flag.Parse()
	record, err := kit.NewRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	store := kit.NewStore(record)
	ledger := kit.NewLedger(record)
	var mu sync.Mutex
	var calmAt time.Time
	alone := make(map[string]int)
	ledger.OnEnd = func(_, task, how string) {
		mu.Lock()
		defer mu.Unlock()
		if how != "alone" || calmAt.IsZero() || time.Now().Before(calmAt) {
			return
		}
		id := strings.SplitN(task, ".", 2)[0]
		if alone[id]++; alone[id] == 1 {
			record.Break("GANG: a run of %s ends alone, with no disruption near", task)
		}
	}
	fleet := kit.NewFleet("pool", store, ledger, record)
	fleet.Outcome = func(string, uint64) kit.Outcome { return kit.Outcome{Length: 1500 * time.Millisecond} }
	fleet.GangSize = func(string) int { return gangSize }
	zones := []string{"za", "zb", "zc"}
	for i := range workerCount {
		fleet.Add(&kit.Machine{Name: fmt.Sprintf("m-%d", i), Zone: zones[i%3], Labels: []string{"a", fmt.Sprintf("r-%d", i/4)}, Cores: 32000, Memory: 125000})
	}
	cloud, err := kit.OpenCloud(fleet, nil)
	if err != nil {
		record.Printf("can't run: %v", err)
		return 2
	}
	site := &kit.Site{Program: *program, Dir: *dir, Record: record, Store: store, Cloud: cloud, Zones: zones}
	kit.PutConfig(store, 3, "pool", 4)
	defer site.Stop()
	if err := site.Start(6); err != nil {
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
	go func() {
		time.Sleep(killAt)
		if *trouble == "both" || *trouble == "kill" {
			record.Printf("TROUBLE: the instance is killed that last wrote to the store under a condition")
			site.ByDoor(store.LastWriter()).Kill()
		}
		time.Sleep(crashAfter)
		if *trouble == "both" || *trouble == "crash" {
			m := fleet.Machines[0]
			record.Printf("TROUBLE: the worker on machine %s crashes", m.Name)
			m.Down("down")
			time.Sleep(crashTime)
			m.Up()
		}
		mu.Lock()
		calmAt = time.Now().Add(calmAfter)
		mu.Unlock()
	}()
	var ids []string
	var idMu sync.Mutex
	for time.Since(begun) < lastJobAt {
		go func() {
			id := kit.NewID()
			if clients.Submit(id, []kit.Step{{Count: gangSize, Processors: 2000, Memory: 1000, Estimate: 1500, Gang: true}}) {
				idMu.Lock()
				ids = append(ids, id)
				idMu.Unlock()
			}
		}()
		time.Sleep(jobInterval)
	}
	time.Sleep(length - 10*time.Second - time.Since(begun))
	open := 0
	for _, id := range ids {
		if state, _ := clients.State(id); state != "completed" {
			open++
			record.Printf("job %s is %q, %.0f s after the last disruption", id, state, time.Since(begun.Add(killAt+crashAfter+crashTime)).Seconds())
		}
	}
	starts, dones, failed := ledger.Counts()
	record.Printf("%d gangs accepted, %d not completed; %d starts, %d ends done, %d failed", len(ids), open, starts, dones, failed)
	if len(ids) < 20 {
		record.Printf("can't judge: too few jobs")
		return 2
	}
	if broken := record.Broken(); len(broken) > 0 || open > 0 {
		fmt.Printf("%d breaks, %d of %d jobs never complete", len(broken), open, len(ids))
		if len(broken) > 0 {
			fmt.Printf(", the first: %s", broken[0])
		}
		fmt.Println()
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
