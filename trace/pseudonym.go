package trace

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
)

const (
	feistelRounds = 4
	textBytes     = 10 // of a text's hash, in its pseudonym
)

type roundKey = [sha256.Size]byte

// Text returns the pseudonym of any words: of all of them together, so that nothing inside them remains.
func (a *Anonymiser) Text(s string) string {
	if s == "" {
		return ""
	}
	sum := a.hash([]byte("text\x00" + s))
	return "p" + base32.StdEncoding.EncodeToString(sum[:textBytes])
}

// ID returns the pseudonym of a number of so many bits. The pseudonyms of a domain are a permutation of its numbers, so
// no two ids share one: a Feistel network keyed by HMAC-SHA-256. 0 identifies nothing and stays.
func (a *Anonymiser) ID(domain string, number uint64, bits int) uint64 {
	if number == 0 {
		return 0
	}
	half := uint(bits / 2)
	mask := uint64(1)<<half - 1
	for {
		left := number >> half & mask
		right := number & mask
		for round := range feistelRounds {
			mixed := left ^ a.scramble(domain, round, right)&mask
			left = right
			right = mixed
		}
		// The number that is mapped to 0 gets the pseudonym that 0 itself would have had.
		if number = left<<half | right; number != 0 {
			return number
		}
	}
}

// scramble is the network's round function.
func (a *Anonymiser) scramble(domain string, round int, v uint64) uint64 {
	key := a.domainKeys(domain)[round]
	sum := sha256.Sum256(binary.LittleEndian.AppendUint64(key[:], v))
	return binary.LittleEndian.Uint64(sum[:])
}

// domainKeys returns the round keys of a domain, which are derived once.
func (a *Anonymiser) domainKeys(domain string) *[feistelRounds]roundKey {
	keys := a.roundKeys[domain]
	if keys == nil {
		keys = &[feistelRounds]roundKey{}
		for round := range keys {
			keys[round] = a.hash([]byte("id\x00"+domain), []byte{byte(round)})
		}
		a.roundKeys[domain] = keys
	}
	return keys
}

// hash returns the HMAC-SHA-256 of the parts under the key.
func (a *Anonymiser) hash(parts ...[]byte) (sum [sha256.Size]byte) {
	h := hmac.New(sha256.New, a.key)
	for _, part := range parts {
		h.Write(part)
	}
	h.Sum(sum[:0])
	return sum
}
