//go:build review

// Command manyends plays an outage of the store while workers run many small tasks, so that more
// ends wait at a worker than one answer lists, and checks rule TWICE.
package main

import (
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/kit"
)

const (
	workerCount = 2
	jobCount    = 4
	jobWidth    = 2500
	outageAt    = 4 * time.Second // after the jobs were handed in
	outageTime  = 4500 * time.Millisecond
	length      = 45 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "", "the program under test")
	dir := flag.String("dir", "", "temporary folder")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.String("trouble", "down", "down: the store is away for all instances; kill: the owner is killed, with shorter tasks; calm: none, with shorter tasks; none")
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
	fleet.Outcome = func(task string, attempt uint64) kit.Outcome {
		h := fnv.New32a()
		fmt.Fprintf(h, "%s/%d", task, attempt)
		if *trouble == "kill" || *trouble == "calm" { // all that run end before another instance takes over
			return kit.Outcome{Length: 500*time.Millisecond + time.Duration(h.Sum32()%300)*time.Millisecond}
		}
		return kit.Outcome{Length: 1000*time.Millisecond + time.Duration(h.Sum32()%500)*time.Millisecond}
	}
	zones := []string{"za", "zb", "zc"}
	for i := range workerCount {
		fleet.Add(&kit.Machine{Name: fmt.Sprintf("m-%d", i), Zone: zones[i], Labels: []string{"a", fmt.Sprintf("r-%d", i)}, Cores: 64000, Memory: 256000})
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
	var ids []string
	for range jobCount {
		id := kit.NewID()
		if clients.Submit(id, []kit.Step{{Count: jobWidth, Processors: 100, Memory: 100, Estimate: 1250}}) {
			ids = append(ids, id)
		}
	}
	if *trouble == "kill" {
		time.Sleep(outageAt - time.Since(begun))
		record.Printf("TROUBLE: the instance is killed that last wrote to the store under a condition")
		site.ByDoor(store.LastWriter()).Kill()
	}
	if *trouble == "down" {
		time.Sleep(outageAt - time.Since(begun))
		record.Printf("TROUBLE: the store is down")
		for _, in := range site.Instances {
			in.Door.SetMode(kit.StoreRefuses)
		}
		time.Sleep(outageTime)
		for _, in := range site.Instances {
			in.Door.SetMode(kit.StoreServes)
		}
		record.Printf("TROUBLE ends: the store is back")
	}
	for open := true; open && time.Since(begun) < length; time.Sleep(time.Second) {
		open = false
		for _, id := range ids {
			if state, _ := clients.State(id); state != "completed" {
				open = true
			}
		}
	}
	starts, dones, failed := ledger.Counts()
	record.Printf("%d starts, %d ends done, %d failed", starts, dones, failed)
	if len(ids) < jobCount || dones < jobCount*jobWidth/2 {
		record.Printf("can't judge: jobs weren't accepted, or too little ran")
		return 2
	}
	if broken := record.Broken(); len(broken) > 0 {
		fmt.Printf("%d breaks, the first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
