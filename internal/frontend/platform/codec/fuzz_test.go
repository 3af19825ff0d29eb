package codec

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func FuzzMessages(f *testing.F) {
	b, err := NodeCodec{}.Append(nil, sample())
	if err != nil {
		f.Fatal(err)
	}
	l, err := ClientCodec{}.Append(nil, sample())
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{
		b, l, b[:7], l[:9], {0xff, 0xff, 1}, {0, 9, 12}, []byte("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n"),
		[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n"), []byte(`{"verb":"START","opts":{"left":1e999}}` + "\n"),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, form := range []interface {
			Decode([]byte) (any, int, error)
		}{NodeCodec{}, ClientCodec{}, &Stream{}} {
			for rest := b; len(rest) > 0; {
				m, n, err := form.Decode(rest)
				if err != nil || n == 0 {
					assert.Nil(t, m)
					break
				}
				assert.LessOrEqual(t, n, len(rest))
				rest = rest[n:]
			}
		}
	})
}
