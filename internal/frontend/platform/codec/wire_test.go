package codec

import (
	"encoding/binary"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func sample() *Message {
	text := "v=0\r\nm=audio 31000 <RTP>\r\n"
	return Message{
		Verb: Start, Tag: 0x9b1f03aa5c7e2d41, Description: &text,
		Fields: map[Field]string{Group: "tiles", Left: "1500", Key: "7f3a9c21e0b4d655"},
	}.With(Full)
}

func TestAMessageIsReadAsItWasWrittenAndNeverInPart(t *testing.T) {
	b, err := NodeCodec{}.Append(nil, sample())
	require.NoError(t, err)
	for n := range b {
		m, used, err := NodeCodec{}.Decode(b[:n])
		assert.NoError(t, err)
		assert.Nil(t, m)
		assert.Zero(t, used)
	}
	m, n, err := NodeCodec{}.Decode(append(b, 9))
	require.NoError(t, err)
	assert.Equal(t, len(b), n)
	assert.Equal(t, sample(), m)
}

func TestALineIsReadWithStringsAndNumbers(t *testing.T) {
	l := `{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"tiles","left":1500,"key":"7f3a9c21e0b4d655","new":1},` +
		`"rc":34,"blob":"v=0\r\nm=audio 31000 <RTP>\r\n"}` + "\n"
	m, n, err := ClientCodec{}.Decode([]byte(l + "{"))
	require.NoError(t, err)
	assert.Equal(t, len(l), n)
	assert.Equal(t, sample(), m)
	b, err := ClientCodec{}.Append(nil, Message{Verb: Finish, Tag: 10}.With(Well))
	require.NoError(t, err)
	assert.JSONEq(t, `{"verb":"FINISH","tag":"000000000000000a","opts":{},"rc":16}`, string(b))
}

func TestWhatCannotBeReadIsAnError(t *testing.T) {
	long := strings.Repeat("x", MostBytes)
	for _, l := range []string{
		"nonsense\n", long, `{"verb":"SING","tag":"9b1f03aa5c7e2d41"}` + "\n", `{"verb":"ECHO"}` + "\n", "[]\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d41","rc":-1}` + "\n", `{"verb":"ECHO","tag":"9b1f03aa5c7e2d4g"}` + "\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d41","opts":{"left":[1]}}` + "\n",
	} {
		_, _, err := ClientCodec{}.Decode([]byte(l))
		assert.Error(t, err, "%.60s", l)
	}
	whole, err := NodeCodec{}.Append(nil, sample())
	require.NoError(t, err)
	short, huge, strange, cut, noise := []byte{0, 3}, []byte{0xff, 0xff}, []byte{0, 9, 200}, whole[:len(whole)-1], append([]byte{}, whole...)
	cut = append([]byte{}, cut...)
	binary.BigEndian.PutUint16(cut, uint16(len(cut)-2))
	noise[len(noise)-3] = 0xfe
	for _, b := range [][]byte{short, huge, strange, cut, noise} {
		_, _, err := NodeCodec{}.Decode(b)
		assert.Error(t, err, "% x", b)
	}
}

// read feeds a stream in pieces of that size, as an event loop would.
func read(s *Stream, text string, size int) (events []Event, err error) {
	var b []byte
	for at := 0; at < len(text); at += size {
		b = append(b, text[at:min(len(text), at+size)]...)
		for len(b) > 0 {
			m, n, err := s.Decode(b)
			if err != nil {
				return events, err
			}
			if n == 0 {
				break
			}
			if m != nil {
				events = append(events, m.(*News).Events...)
			}
			b = b[n:]
		}
	}
	return events, nil
}

func TestEventsAreReadWholeHoweverTheyArrive(t *testing.T) {
	const events = ": up\n\nid: 4\ndata: {\"a\":\ndata: 1}\n\n:\n\nid: 5\r\ndata:x\r\n\r\nid: 6\ndata: cut o"
	plain := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" + "15\r\n" + events[:21] + "\r\n" + "5\r\n" + events[21:26] + "\r\n" +
		"27\r\n" + events[26:65] + "\r\n"
	require.Len(t, events, 71)
	for _, size := range []int{1, 7, 1000} {
		for _, text := range []string{plain, chunked} {
			got, err := read(&Stream{}, text, size)
			require.NoError(t, err)
			assert.Equal(t, []Event{{4, []byte("{\"a\":\n1}")}, {5, []byte("x")}}, got)
		}
	}
	for _, text := range []string{"HTTP/1.1 503 Busy\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nid: four\n", chunked[:strings.Index(chunked, "15\r\n")] + "zz\r\n"} {
		_, err := read(&Stream{}, text, 1000)
		assert.Error(t, err)
	}
}
