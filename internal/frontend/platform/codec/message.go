// Package codec reads and writes the three forms that the platform speaks: lines of JSON with owners, binary
// messages with nodes, and the journal service's stream of events. It is bounded and does no I/O; the forms are
// transport.Form.
package codec

import (
	"fmt"
	"strconv"
	"unicode/utf8"
)

// MostBytes bounds a message of either form.
const MostBytes = 16 << 10

// Verb is what a message says. Its number is that of the binary form.
type Verb uint8

const (
	Start    Verb = 1
	Pending  Verb = 6
	Started  Verb = 9
	Finish   Verb = 12
	Finished Verb = 16
	Notice   Verb = 44
	Move     Verb = 51
	Echo     Verb = 52
	Echoed   Verb = 53
)

var verbNames = map[Verb]string{
	Start: "START", Pending: "PENDING", Started: "STARTED", Finish: "FINISH", Finished: "FINISHED",
	Notice: "NOTICE", Move: "MOVE", Echo: "ECHO", Echoed: "ECHOED",
}

var verbsByName = func() map[string]Verb {
	by := map[string]Verb{}
	for v, name := range verbNames {
		by[name] = v
	}
	return by
}()

func (v Verb) String() string { return verbNames[v] }

// Cause says why a workload is refused, failed or over.
type Cause uint8

const (
	Failed       Cause = 0 // of a test
	Passed       Cause = 1 // of a test
	Well         Cause = 16
	Cancelled    Cause = 31
	Full         Cause = 34
	Broken       Cause = 41
	Error        Cause = 47
	Incompatible Cause = 88 // what was asked for cannot be
	Moot         Cause = 102
)

// Tag names a workload on a connection, and the copy of it that a node holds.
type Tag uint64

func (t Tag) String() string { return fmt.Sprintf("%016x", uint64(t)) }

func parseTag(s string) (Tag, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 {
		return 0, fmt.Errorf("tag %.40q is not 16 hex digits", s)
	}
	return Tag(n), nil
}

// Field is a named value of a message. Its number is that of the binary form.
type Field uint8

const (
	Group  Field = 16
	Left   Field = 18 // ms
	Key    Field = 24
	Note   Field = 30
	Report Field = 34
	Figure Field = 40
	cause  Field = 44
	text   Field = 46
	Retry  Field = 1 // only owners have these
	Extras Field = 2
)

var fieldsByName = map[string]Field{"class": Group, "left": Left, "key": Key, "retry": Retry, "extras": Extras}

// Message is one message of either form. What is absent is nil, and HasCause false.
type Message struct {
	Verb        Verb
	Tag         Tag
	Fields      map[Field]string
	Cause       Cause
	HasCause    bool
	Description *string
}

// With is the message with a cause.
func (m Message) With(c Cause) *Message {
	m.Cause, m.HasCause = c, true
	return &m
}

func readable(s string) error {
	if !utf8.ValidString(s) {
		return fmt.Errorf("text is not UTF-8: %.40q", s)
	}
	return nil
}
