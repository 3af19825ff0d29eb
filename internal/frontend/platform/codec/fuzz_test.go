package codec

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func FuzzCodecs_Decode(f *testing.F) {
	offer, err := NodeCodec{}.Append(nil, sampleOffer())
	require.NoError(f, err)
	confirmation, err := ClientCodec{}.Append(nil, NewConfirmation(sampleTag, sampleDescription))
	require.NoError(f, err)
	for _, seed := range [][]byte{
		offer,
		offer[:7],
		confirmation,
		confirmation[:9],
		[]byte(sampleRequest),
		{0xff, 0xff, 1},
		{0, 9, 12},
		[]byte("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n"),
		[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n"),
		[]byte(`{"verb":"START","opts":{"left":1e999}}` + "\n"),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, codec := range []interface {
			Decode([]byte) (any, int, error)
		}{NodeCodec{}, ClientCodec{}, &DiscoveryCodec{}} {
			for rest := b; len(rest) > 0; {
				m, n, err := codec.Decode(rest)
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

func FuzzDecodeEndpoints(f *testing.F) {
	f.Add([]byte(`{"hosts":{"snapshot":true,"endpoints":[{"name":"a","status":"Ready","room":[1,2]}]}}`))
	f.Add([]byte(`{"other":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		update, ok, err := DecodeEndpoints(b)
		if err != nil || !ok {
			assert.Zero(t, update)
			return
		}
		for _, e := range update.Endpoints {
			assert.NotEmpty(t, e.Name)
		}
	})
}
