// Package member is one instance's view of which entry instances are there,
// kept without a coordinator. The platform's instance list is a hint that may
// lag; heartbeats are direct evidence; a refused connection is quick evidence
// that needs confirmation. Views of two instances may differ for a while:
// leases keep that safe, and the view only says who should ask for them.
//
// Usage:
//
//	table := member.New(member.Self{ID: id, AvailabilityZone: zone, Incarnation: run})
//	table.Listed(now, instances)
//	table.Heard(now, heartbeat)
//	for _, change := range table.Tick(now) { ... }
//	owner, _ := rendezvous.Pick(worker, table.Live(zone))
//	for _, id := range table.Due(now, revision) { send(id, table.Heartbeat(...)) }
//
// The states and what moves a member between them are in member.yaml. A
// silent member is suspected, and goes on owning workers while it is; when it
// is declared dead it must be heard steadily for a while before it owns again,
// longer each time it dies soon after.
//
// The package does no I/O and reads no clock. Its memory is bounded by
// WithLimit members, each with at most maxFree services; a member that is
// dead or left and off the list is forgotten after WithRetention.
package member
