//go:build review

// Command upkeep plays a wave of machine upkeep in which the owner is lost right after it has
// ordered one, and checks rule TWICE.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/kit"
)

const (
	machineCount = 8
	taskLength   = 4 * time.Second
	jobInterval  = 150 * time.Millisecond
	waveAt       = 10 * time.Second
	lastJobAt    = 32 * time.Second
	length       = 40 * time.Second
	cutTime      = 5500 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "", "the program under test")
	dir := flag.String("dir", "", "temporary folder")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.String("trouble", "cut", "cut: the owner is cut off from the store; kill: it is killed; none")
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
	fleet.Outcome = func(string, uint64) kit.Outcome { return kit.Outcome{Length: taskLength} }
	zones := []string{"za", "zb", "zc"}
	var names []string
	for i := range machineCount {
		m := &kit.Machine{Name: fmt.Sprintf("m-%d", i), Zone: zones[i%3], Labels: []string{"a", fmt.Sprintf("r-%d", i/4)}, Cores: 32000, Memory: 125000}
		names = append(names, m.Name)
		fleet.Add(m)
	}
	cloud, err := kit.OpenCloud(fleet, map[int][]string{1: names})
	if err != nil {
		record.Printf("can't run: %v", err)
		return 2
	}
	site := &kit.Site{Program: *program, Dir: *dir, Record: record, Store: store, Cloud: cloud, Zones: zones}
	var struck atomic.Bool
	cloud.OnUpkeep = func(holder, machine string, begun bool) {
		if !begun || *trouble == "none" || struck.Swap(true) {
			return
		}
		owner := site.ByName(holder)
		record.Printf("TROUBLE: %s, which has just performed a duty: %s", holder, *trouble)
		if *trouble == "kill" {
			owner.Kill()
			return
		}
		owner.Door.SetMode(kit.StoreRefuses)
		time.AfterFunc(cutTime, func() {
			owner.Door.SetMode(kit.StoreServes)
			record.Printf("TROUBLE ends: %s reaches the store again", holder)
		})
	}
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
	clients := kit.NewClients(site)
	begun := time.Now()
	wave := false
	for time.Since(begun) < lastJobAt {
		go clients.Submit(kit.NewID(), []kit.Step{{Count: 3, Processors: 2000, Memory: 1000, Estimate: taskLength.Milliseconds()}})
		if !wave && time.Since(begun) > waveAt {
			wave = true
			record.Printf("the operator asks for wave 1")
			store.PutJSON("keyed.op", "wave/1", map[string]any{"wave": 1, "machines": names, "completeByS": 60, "maximum": 1})
		}
		time.Sleep(jobInterval)
	}
	time.Sleep(length - time.Since(begun))
	starts, dones, failed := ledger.Counts()
	record.Printf("%d starts, %d ends done, %d failed", starts, dones, failed)
	broken := record.Broken()
	if starts < 100 || *trouble != "none" && !struck.Load() {
		record.Printf("can't judge: too few starts, or no upkeep was ordered")
		return 2
	}
	if len(broken) > 0 {
		fmt.Printf("%d breaks, the first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
