package manifest_test

import (
	"fmt"

	"github.com/dogwoodladder/dogwoodladder/manifest"
)

func Example() {
	m, err := manifest.Parse("site.yaml", []byte(`
zones:
  - {name: ebene, capacity: {processors: 32, memory: 125GiB}}
groups:
  - {name: glossary, share: 50%}
jobs:
  - {name: rebuild, group: glossary, need: {processors: 500m, memory: 1GiB}, tasks: 2}
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(m.Limits("ebene")["glossary"])
	for _, task := range m.Tasks("ebene") {
		fmt.Println(task.ID, task.Need)
	}

	_, err = manifest.Parse("site.yaml", []byte("zones: []\ngroups:\n  - {name: glossary, share: 50}\n"))
	fmt.Println(err)
	// Output:
	// processors=16000m memory=64000MiB accelerators=0
	// job/glossary/rebuild/0 processors=500m memory=1024MiB accelerators=0
	// job/glossary/rebuild/1 processors=500m memory=1024MiB accelerators=0
	// site.yaml:1:8: want at least one zone
	// site.yaml:3:29: share "50", want a percentage such as 40% or 12.5%
}
