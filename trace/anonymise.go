package trace

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"grebeglade/trace/tracepb"
)

// treatment is what becomes of a field.
type treatment struct {
	how    how
	domain string // ids of one domain get the same pseudonyms wherever they stand
}

type how uint8

const (
	keep   how = iota // says nothing of who
	id                // a number that names something
	text              // any words
	amount            // a number that can point to someone by being unusual; made coarse on wish
	wipe
)

// treatments name every field of a record and a header. A field that is not named here is not written: one that
// a later version adds must be thought about first.
var treatments = map[string]treatment{
	"Header.anonymised": {}, "Header.tool": {}, "Source.wall_ms": {},
	"Source.allocator": {text, ""}, "Source.incarnation": {id, "incarnation"},
	"Record.at_ms": {}, "Record.revision": {}, "Record.source": {},
	"Start.seed": {wipe, ""}, "Start.groups": {text, ""}, "Start.kinds": {text, ""}, "Start.zones": {text, ""},
	"Settings.allocators": {}, "Settings.ordinal": {}, "Settings.zone": {id, "zone"}, "Settings.cold_for": {},
	"Settings.cold_from": {}, "Settings.cold_bears": {}, "Settings.overload_for": {}, "Settings.must_ask": {},
	"Settings.ask_within": {}, "Settings.confirms_running": {}, "Settings.reports_use": {},
	"Settings.room_in_list": {}, "Settings.max_binds": {}, "Settings.may_probe": {}, "Settings.zone_price": {amount, ""},
	"Group.target": {amount, ""}, "Group.utility": {amount, ""}, "Group.effect": {}, "Group.dedup_scope": {},
	"Group.dedup_window": {amount, ""}, "Group.spread": {}, "Group.spread_most": {}, "Group.calm": {}, "Group.fade": {},
	"Group.kind": {}, "Size.cores": {amount, ""}, "Size.memory": {amount, ""},
	"Workload.id": {id, "workload"}, "Workload.service": {id, "service"}, "Workload.group": {},
	"Workload.cores": {amount, ""}, "Workload.memory": {amount, ""}, "Workload.left": {amount, ""}, "Workload.again": {},
	"Adopt.node": {id, "node"}, "Next.workload": {id, "workload"}, "Next.kind": {}, "Next.reason": {}, "Next.over": {},
	"Load.spare_cores": {amount, ""}, "Load.spare_memory": {amount, ""}, "Load.backlog": {}, "Load.utilization": {amount, ""},
	"List.kind": {}, "Node.id": {id, "node"}, "Node.state": {}, "Node.kind": {}, "Node.zone": {id, "zone"},
	"Node.cell": {id, "cell"}, "Node.born": {}, "Node.free_cores": {amount, ""}, "Node.free_memory": {amount, ""},
	"Report.node": {id, "node"}, "Probed.node": {id, "node"}, "Probed.answered": {},
	"Note.workload": {id, "workload"}, "Note.kind": {}, "Note.value": {amount, ""},
	"Step.kind": {}, "Step.node": {id, "node"}, "Step.timeout": {}, "Step.until": {},
	"Chores.moves": {id, "workload"}, "Chores.probes": {id, "node"}, "Chores.watch": {}, "Chores.again": {},
	"Asked.workload": {id, "workload"}, "Asked.owner": {text, ""}, "Asked.ask": {id, "ask"}, "Asked.key": {id, "key"},
	"Answered.workload": {id, "workload"}, "Answered.verdict": {}, "Answered.node": {id, "node"}, "Answered.text": {text, ""},
	"Refused.workload": {id, "workload"}, "Refused.node": {id, "node"}, "Refused.text": {text, ""},
	"Heard.epoch": {id, "epoch"}, "Heard.revision": {id, "list revision"},
	"GangAsked.owner": {text, ""}, "GangAsked.ask": {id, "ask"}, "GangAsked.parts": {}, "GangAsked.need": {},
	"GangAsked.left": {amount, ""}, "GangState.owner": {text, ""}, "GangState.ask": {id, "ask"}, "GangState.state": {},
	"GangState.workloads": {id, "workload"},
	"Gap.missing":         {}, "Gap.why": {text, ""},
}

// LeastKey is how long a key must be, in bytes: a shorter one can be found by trying.
const LeastKey = 16

// Anonymiser replaces what names someone or something by pseudonyms. Under one key the same name gets the same
// pseudonym in every file; without the key pseudonyms can neither be undone nor tried out, and neither their
// order nor their size says anything.
type Anonymiser struct {
	key    []byte
	Coarse bool // amounts are rounded to powers of two
	round  map[string]*[4][32]byte
}

// NewAnonymiser takes the key.
func NewAnonymiser(key []byte) (*Anonymiser, error) {
	if len(key) < LeastKey {
		return nil, fmt.Errorf("the key has %d bytes; it must have %d or more, such as from: head -c 32 /dev/urandom", len(key), LeastKey)
	}
	return &Anonymiser{key: key, round: map[string]*[4][32]byte{}}, nil
}

// Header is a header under pseudonyms.
func (a *Anonymiser) Header(h *tracepb.Header) (*tracepb.Header, error) {
	c := proto.Clone(h).(*tracepb.Header)
	c.Anonymised = true
	return c, a.message(c.ProtoReflect())
}

// Record is a record under pseudonyms.
func (a *Anonymiser) Record(r *Record) (*Record, error) {
	c := proto.Clone(r).(*Record)
	return c, a.message(c.ProtoReflect())
}

func (a *Anonymiser) message(m protoreflect.Message) error {
	m.SetUnknown(nil)
	var failed error
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if f.Message() != nil {
			failed = a.nested(f, v)
			return failed == nil
		}
		name := string(m.Descriptor().Name()) + "." + string(f.Name())
		t, known := treatments[name]
		if !known {
			failed = fmt.Errorf("nothing says whether field %s names someone", name)
			return false
		}
		if f.IsList() {
			list := v.List()
			for i := range list.Len() {
				list.Set(i, a.value(t, f, list.Get(i)))
			}
			return true
		}
		m.Set(f, a.value(t, f, v))
		return true
	})
	return failed
}

func (a *Anonymiser) nested(f protoreflect.FieldDescriptor, v protoreflect.Value) error {
	if !f.IsList() {
		return a.message(v.Message())
	}
	list := v.List()
	for i := range list.Len() {
		if err := a.message(list.Get(i).Message()); err != nil {
			return err
		}
	}
	return nil
}

func (a *Anonymiser) value(t treatment, f protoreflect.FieldDescriptor, v protoreflect.Value) protoreflect.Value {
	switch t.how {
	case wipe:
		return f.Default()
	case text:
		return protoreflect.ValueOfString(a.Text(v.String()))
	case amount:
		if a.Coarse {
			return protoreflect.ValueOfFloat64(coarse(v.Float()))
		}
	case id:
		switch bits := widths[t.domain]; f.Kind() {
		case protoreflect.Uint32Kind:
			return protoreflect.ValueOfUint32(uint32(a.ID(t.domain, v.Uint(), bits)))
		default:
			return protoreflect.ValueOfUint64(a.ID(t.domain, v.Uint(), bits))
		}
	}
	return v
}

// widths are the bits that an id of a domain has: its pseudonym has as many.
var widths = map[string]int{
	"workload": 32, "node": 32, "zone": 16, "cell": 16, "service": 64, "ask": 64, "key": 64, "epoch": 64,
	"incarnation": 64, "list revision": 64,
}

// coarse is the nearest power of two.
func coarse(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return v
	}
	return math.Copysign(math.Exp2(math.Round(math.Log2(math.Abs(v)))), v)
}

// Text is the pseudonym of any words: of all of them at once, so that nothing inside them remains.
func (a *Anonymiser) Text(s string) string {
	if s == "" {
		return ""
	}
	h := hmac.New(sha256.New, a.key)
	h.Write([]byte("text\x00" + s))
	return "p" + base32.StdEncoding.EncodeToString(h.Sum(nil)[:10])
}

// ID is the pseudonym of a number of so many bits. Pseudonyms of one domain are a permutation of its numbers, so
// no two ids share one: four rounds of a Feistel network, keyed by HMAC-SHA-256. 0 names nothing and stays.
func (a *Anonymiser) ID(domain string, v uint64, bits int) uint64 {
	if v == 0 {
		return 0
	}
	half := uint(bits / 2)
	mask := uint64(1)<<half - 1
	for {
		l, r := v>>half&mask, v&mask
		for round := range byte(4) {
			l, r = r, l^a.scramble(domain, round, r)&mask
		}
		// The one that falls on 0 takes the place that 0 itself would have had.
		if v = l<<half | r; v != 0 {
			return v
		}
	}
}

func (a *Anonymiser) scramble(domain string, round byte, v uint64) uint64 {
	keys := a.round[domain]
	if keys == nil {
		keys = &[4][32]byte{}
		for i := range keys {
			h := hmac.New(sha256.New, a.key)
			h.Write([]byte("id\x00" + domain))
			h.Write([]byte{byte(i)})
			copy(keys[i][:], h.Sum(nil))
		}
		a.round[domain] = keys
	}
	var b [40]byte
	copy(b[:], keys[round][:])
	binary.LittleEndian.PutUint64(b[32:], v)
	sum := sha256.Sum256(b[:])
	return binary.LittleEndian.Uint64(sum[:])
}

// Anonymise writes a file under pseudonyms. Its blocks and its index are made anew.
func Anonymise(r *Reader, w *Writer, a *Anonymiser) error {
	for rec, err := range r.Records(Span{}) {
		if errors.As(err, new(Damage)) {
			continue // what cannot be read names nobody
		}
		if err != nil {
			return err
		}
		c, err := a.Record(rec)
		if err != nil {
			return err
		}
		if err := w.Append(c); err != nil {
			return err
		}
	}
	return w.Close()
}
