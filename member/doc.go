// Package member maintains one instance's view of the membership of entry
// instances without a coordinator. The platform's instance list is a hint that
// may lag; heartbeats are direct evidence; a refused connection is fast evidence
// that needs confirmation. The views of two instances may differ temporarily.
// Leases keep that safe; the view only decides who tries to acquire them.
//
// Usage:
//
//	table := member.New(member.Self{ID: id, AvailabilityZone: zone, Incarnation: run})
//	table.HandleList(now, instances)
//	table.HandleHeartbeat(now, heartbeat)
//	for _, change := range table.Tick(now) { ... }
//	owner, _ := rendezvous.Pick(worker, table.Live(zone))
//	for _, id := range table.Due(now, revision) { send(id, table.Heartbeat(...)) }
//
// The states and transitions of a member are in member.yaml. A silent member
// is suspected and keeps its workers meanwhile. After it has been declared dead
// it must send heartbeats without a gap for the join delay before it owns
// workers again, longer each time it dies soon after.
//
// The package does no I/O and reads no clock. Its memory is bounded by
// WithLimit members, each with at most maxFree services; a member that is
// dead or left and off the list is forgotten after WithRetention.
package member
