package codec

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	sampleTag         = Tag(0x9b1f03aa5c7e2d41)
	sampleDescription = "v=0\r\nm=audio 31000 <RTP>\r\n"
	sampleRequest     = `{"verb":"START","tag":"9b1f03aa5c7e2d41",` +
		`"opts":{"class":"tiles","left":1500,"key":"7f3a9c21e0b4d655",` +
		`"extras":"cores:1;memory:2.5;service:00000000b4d65521","new":1},` +
		`"rc":34,"blob":"v=0\r\nm=audio 31000 <RTP>\r\n"}` + "\n"
)

func sampleOffer() *Offer {
	return &Offer{
		Header:      Header{Tag: sampleTag},
		Class:       "tiles",
		Key:         "7f3a9c21e0b4d655",
		Timeout:     1500,
		Description: sampleDescription,
	}
}

func TestCodecs_UnsupportedMessage_Error(t *testing.T) {
	for name, codec := range map[string]interface {
		Append([]byte, any) ([]byte, error)
	}{"node": NodeCodec{}, "client": ClientCodec{}, "discovery": &DiscoveryCodec{}} {
		b, err := codec.Append([]byte("before"), &AdoptRequest{})
		require.ErrorIs(t, err, ErrUnsupported, name)
		assert.Equal(t, "before", string(b), name)
	}
}
