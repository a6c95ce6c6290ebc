package manifest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/dogwoodladder/dogwoodladder/document"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// TestParseBad has one case for each pair of files in testdata/bad: a manifest
// and the expected problems.
func TestParseBad(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.yaml")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			m, err := Parse(filepath.Base(file), data)
			is.True(err != nil) // refused
			is.Equal(m, nil)    // nothing of it is used
			golden := goldie.New(t, goldie.WithFixtureDir("testdata/bad"))
			golden.Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// A file above the size bound, or one that exceeds it only in canonical form,
// must be refused. If only the input were bounded, which short forms and aliases
// keep small, a file could exhaust the memory of a daemon.
func TestSizeBounds(t *testing.T) {
	is := is.New(t)
	head := "zones: [{name: a, capacity: &v {processors: 1, memory: 1GiB}}]\ngroups: [{name: g, share: 100%}]\njobs:\n"
	_, err := Parse("big", append([]byte(head), make([]byte, document.MaxSize+1-len(head))...))
	is.Equal(err.Error(), "big:1:1: file of 1048577 bytes, limit 1048576")

	var b strings.Builder
	b.WriteString(head)
	for i := range 14_000 {
		fmt.Fprintf(&b, " - {name: j%d, group: g, need: *v}\n", i)
	}
	m, err := Parse("short", []byte(b.String()))
	is.NoErr(err)
	_, err = m.Encode()
	is.True(fault.Is(err, fault.TooLarge))
}

func TestLimits(t *testing.T) {
	is := is.New(t)
	m := site(t)
	is.Equal(m.Limits("kurasini"), map[string]resource.Vector{
		"pricing": {Processors: 1408*600 - 22*8000, Memory: 5500*1024*6/10 - 22*16384, Accelerators: 4},
		"grading": {Processors: 1408 * 375, Memory: 5500 * 1024 * 3 / 10, Accelerators: 3},
	})
	is.Equal(m.Limits("mbagala")["grading"], resource.Vector{Processors: 1344 * 200, Memory: 5250 * 1024 / 5})
	is.Equal(m.Limits("unknown"), nil)
}

// Every task must be in exactly one zone, which can hold it, and in the same
// zone after encoding and decoding.
func TestTasksHaveOneZone(t *testing.T) {
	is := is.New(t)
	m := site(t)
	data, err := m.Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	count := map[string]int{}
	for _, z := range m.AvailabilityZones {
		tasks := m.Tasks(z.Name)
		is.Equal(tasks, back.Tasks(z.Name))
		for _, task := range tasks {
			count[task.ID]++
			is.True(task.Need.Fits(m.Limits(z.Name)[task.Group]))
		}
	}
	is.Equal(count, map[string]int{
		"job/grading/copper/0": 1,
		"job/grading/copper/1": 1,
		"job/grading/copper/2": 1,
		"job/grading/audit/0":  1,
	})
}

// A job without a zone is published, and then a zone is added or the job's zone
// loses accelerators, so that the hash picks another zone. If the zone were
// recomputed for each revision, the task would run in two zones at once with two
// results, because each zone's stream knows only its own tasks.
func TestFollowKeepsZones(t *testing.T) {
	is := is.New(t)
	previous := site(t)
	moved := 0
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		next := site(t)
		next.AvailabilityZones = append(next.AvailabilityZones, next.AvailabilityZones[0])
		next.AvailabilityZones[3].Name = name
		if next.jobZones()[jobKey{"grading", "audit"}] == name {
			moved++
		}
		is.NoErr(next.AssignZones(previous))
		is.Equal(next.jobZones(), previous.jobZones())
	}
	is.True(moved > 0) // the hash alone would have moved the job

	next := site(t)
	next.Jobs[1].AvailabilityZone = "mbagala"
	is.Equal(next.AssignZones(previous).Error(),
		`site.yaml:37:11: job "audit" is in zone "`+previous.jobZones()[next.Jobs[1].key()]+`" already; give it a new name to run it in zone "mbagala"`)
	is.NoErr(site(t).AssignZones(nil)) // the first manifest has no predecessor
}

// FuzzParse checks that no input makes Parse panic, and that every accepted
// manifest can be encoded and decodes to the same content.
func FuzzParse(f *testing.F) {
	bad, err := filepath.Glob("testdata/bad/*.yaml")
	is.New(f).NoErr(err)
	for _, file := range append(bad, "testdata/site.yaml") {
		data, err := os.ReadFile(file)
		is.New(f).NoErr(err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		if _, err := m.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

func site(t *testing.T) *Manifest {
	t.Helper()
	data, err := os.ReadFile("testdata/site.yaml")
	is.New(t).NoErr(err)
	m, err := Parse("site.yaml", data)
	is.New(t).NoErr(err)
	return m
}
