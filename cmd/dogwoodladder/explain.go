package main

import (
	"fmt"
	"os"

	"github.com/dogwoodladder/dogwoodladder/timeline"
)

type explainCmd struct {
	ID   string   `required:"" help:"ID of the job."`
	Logs []string `arg:"" type:"existingfile" help:"Logs of the instances."`
}

// Run prints what the logs say of a job, in order of time.
func (c *explainCmd) Run() error {
	t := timeline.New(c.ID)
	for _, name := range c.Logs {
		if err := readLog(t, name); err != nil {
			return err
		}
	}
	for _, e := range t.Events() {
		fmt.Println(e)
	}
	if t.Skipped() > 0 {
		fmt.Fprintf(os.Stderr, "%d lines that name the job couldn't be read\n", t.Skipped())
	}
	return nil
}

func readLog(t *timeline.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return t.Read(name, f)
}
