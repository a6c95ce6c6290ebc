package peer

import "github.com/dogwoodladder/dogwoodladder/message"

// The messages that a mesh carries, and the local events of its links.
type (
	Message       = message.Message
	Heartbeat     = message.Heartbeat
	ConfigRequest = message.ConfigRequest
	Config        = message.Config
	Handover      = message.Handover
	Call          = message.Call
	Reply         = message.Reply
	Linked        = message.Linked
	Unlinked      = message.Unlinked
	Peer          = message.Peer
)

// Received is a message with the ID of its sender, or a local event of that
// peer's link.
type Received struct {
	From    string
	Message Message
}
