package codec

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// mostNews bounds a line of the journal service, its head, and an event: a list of some thousands of nodes.
const mostNews = 1 << 20

// Follow asks the journal service for what comes after the event of that number.
type Follow struct {
	Host  string
	After uint64
}

// News is what was heard from the journal service: whole events, or only that it is there.
type News struct{ Events []Event }

// Event is one numbered change.
type Event struct {
	ID   uint64
	Data []byte
}

// Stream is the form of one connection to the journal service: a request of HTTP, then server-sent events.
type Stream struct {
	headed, chunked bool
	body            []byte // of chunks, not read yet
	event           Event
	hasID, hasData  bool
}

// Urgent marks the form: a drain is to be kept from when it is told, however much waits.
func (s *Stream) Urgent() {}

func (s *Stream) Append(b []byte, m any) ([]byte, error) {
	f, ok := m.(Follow)
	if !ok {
		return b, fmt.Errorf("%T is no request to the journal service", m)
	}
	return fmt.Appendf(b, "GET /journal HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n",
		f.Host, f.After), nil
}

func (s *Stream) Decode(b []byte) (any, int, error) {
	if !s.headed {
		return s.head(b)
	}
	if !s.chunked {
		news, n, err := s.lines(b)
		if n == 0 || err != nil {
			return nil, 0, err
		}
		return news, n, nil
	}
	end := bytes.Index(b[:min(len(b), 32)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= 32 {
			return nil, 0, fmt.Errorf("chunk has no size")
		}
		return nil, 0, nil
	}
	size, _, _ := strings.Cut(string(b[:end]), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 32)
	if err != nil || n > mostNews {
		return nil, 0, fmt.Errorf("chunk size %.20q is not good", size)
	}
	if n == 0 {
		return nil, 0, fmt.Errorf("the stream has ended")
	}
	from, to := end+2, end+2+int(n)
	if len(b) < to+2 {
		return nil, 0, nil
	}
	s.body = append(s.body, b[from:to]...)
	news, used, err := s.lines(s.body)
	s.body = append(s.body[:0], s.body[used:]...)
	if err != nil {
		return nil, 0, err
	}
	return news, to + 2, nil
}

func (s *Stream) head(b []byte) (any, int, error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > MostBytes {
			return nil, 0, fmt.Errorf("head of the answer has no end")
		}
		return nil, 0, nil
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	if parts := strings.Fields(lines[0]); len(parts) < 2 || parts[1] != "200" {
		return nil, 0, fmt.Errorf("the journal service answers %.60q", lines[0])
	}
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		if strings.EqualFold(name, "Transfer-Encoding") && strings.Contains(strings.ToLower(value), "chunked") {
			s.chunked = true
		}
	}
	s.headed = true
	return &News{}, end + 4, nil
}

// lines takes all whole lines, and says how many bytes they were.
func (s *Stream) lines(b []byte) (*News, int, error) {
	news, used := &News{}, 0
	for {
		end := bytes.IndexByte(b[used:], '\n')
		if end < 0 {
			break
		}
		l := bytes.TrimSuffix(b[used:used+end], []byte("\r"))
		used += end + 1
		name, value, _ := bytes.Cut(l, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(l) == 0:
			if s.hasID && s.hasData {
				news.Events = append(news.Events, s.event)
			}
			s.event, s.hasID, s.hasData = Event{}, false, false
		case string(name) == "id":
			id, err := strconv.ParseUint(string(value), 10, 64)
			if err != nil {
				return nil, used, fmt.Errorf("event number %.40q is not one", value)
			}
			s.event.ID, s.hasID = id, true
		case string(name) == "data":
			if s.hasData {
				s.event.Data = append(s.event.Data, '\n')
			}
			s.event.Data, s.hasData = append(s.event.Data, value...), true
		}
	}
	if len(b)-used > mostNews || len(s.event.Data) > mostNews {
		return nil, used, fmt.Errorf("event of more than %d bytes", mostNews)
	}
	return news, used, nil
}
