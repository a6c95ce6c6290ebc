package setting

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// row is a row of the table.
type row struct {
	key, defaultValue, meaning string
}

const required = "none, required"

var addressRows = []row{
	{"instance", required, "ID of this instance: a-z, 0-9 and hyphens between them"},
	{"zone", required, "availability zone of this instance"},
	{"listen.caller", required, "IP number and port for callers' requests"},
	{"listen.peer", required, "IP number and port for other instances"},
	{"listen.operator", required, "IP number and port for operators"},
	{"platform.log", required, "IP number and port of the log service"},
	{"platform.list", required, "IP number and port of the instance list"},
}

// Table returns all settings as a Markdown table.
func Table() string {
	var b strings.Builder
	b.WriteString("| Setting | Default | Meaning |\n|---|---|---|\n")
	for _, r := range rows() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", r.key, r.defaultValue, r.meaning)
	}
	return b.String()
}

func rows() []row {
	list := slices.Clone(addressRows)
	list = append(list, row{"logs", Default().LogLevel.String(), "least level that is logged: debug, info, warn or error"})
	limits := Default().Limits
	list = append(list,
		row{"limits.connections", strconv.Itoa(limits.Connections), "open connections of all listeners together; at most half of the files that the process may open"},
		row{"limits.memory", formatMemory(limits.Memory), "bytes of requests in progress on all listeners together, each counted twice; bodies that are passed on count only while buffered"},
	)
	for _, t := range timings {
		list = append(list, row{"timing." + t.key, t.defaultValue.String(), t.meaning})
	}
	return list
}
