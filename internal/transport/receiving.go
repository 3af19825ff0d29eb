package transport

// PartialReceiver is implemented by networks on which the parts of a message may arrive one after the other.
type PartialReceiver interface {
	// Receiving reports whether a part of a message has arrived on a connection and the rest has not. If its bytes do
	// not keep arriving, Limits.MessageTimeout ends the connection.
	Receiving(c ConnID) bool
}

// Receiving reports whether a part of a message has arrived on a connection of the network and the rest has not, so
// that its peer is not silent. It is false on networks that deliver messages whole, such as simulated ones. The network
// is a Network or a FrameNetwork.
func Receiving(network any, c ConnID) bool {
	receiver, ok := network.(PartialReceiver)
	return ok && receiver.Receiving(c)
}

// MessageQueue is implemented by networks that queue received messages for their handler.
type MessageQueue interface {
	// Queued reports whether messages of a connection were received and not passed to the handler yet, or may have been
	// received and were not read, since the queue is full.
	Queued(c ConnID) bool
}

// Queued reports whether messages of a connection of the network were received and not passed to its handler yet, so
// that the handler's own work has delayed them. It is false on networks that do not queue messages, such as simulated
// ones. The network is a Network or a FrameNetwork.
func Queued(network any, c ConnID) bool {
	queue, ok := network.(MessageQueue)
	return ok && queue.Queued(c)
}

var (
	_ PartialReceiver = (*worker)(nil)
	_ PartialReceiver = frameNetwork{}
	_ MessageQueue    = (*worker)(nil)
	_ MessageQueue    = frameNetwork{}
)

// Receiving implements PartialReceiver.
func (w *worker) Receiving(id ConnID) bool {
	c := w.conns.find(id)
	return c != nil && !c.shared.ended.Load() && c.inbound.number.Load() != 0
}

// Receiving implements PartialReceiver.
func (n frameNetwork) Receiving(c ConnID) bool { return Receiving(n.Network, c) }

// Queued implements MessageQueue.
func (w *worker) Queued(id ConnID) bool {
	c := w.conns.find(id)
	return c != nil && (c.shared.queued.Load() > 0 || w.loops.isBehind(c.class))
}

// Queued implements MessageQueue.
func (n frameNetwork) Queued(c ConnID) bool { return Queued(n.Network, c) }
