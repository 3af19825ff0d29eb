package trace

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
)

const (
	feistelRounds = 4
	textHashBytes = 10 // number of hash bytes in the pseudonym of a text
)

type roundKey = [sha256.Size]byte

// Text returns the pseudonym of a text. It replaces the text as a whole, so that no part of it remains. The empty text
// stays empty.
func (a *Anonymiser) Text(s string) string {
	if s == "" {
		return ""
	}
	sum := a.hash([]byte("text\x00" + s))
	return "p" + base32.StdEncoding.EncodeToString(sum[:textHashBytes])
}

// ID returns the pseudonym of a number with the given number of bits. A Feistel network keyed by HMAC-SHA-256 permutes
// the numbers of a domain, so that no two ids share a pseudonym. 0 identifies nothing and stays 0.
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
			mixed := left ^ a.roundFunction(domain, round, right)&mask
			left = right
			right = mixed
		}
		// 0 is no valid pseudonym. The number that maps to 0 is permuted again and gets the unused image of 0.
		if number = left<<half | right; number != 0 {
			return number
		}
	}
}

// roundFunction is the round function of the Feistel network.
func (a *Anonymiser) roundFunction(domain string, round int, v uint64) uint64 {
	key := a.domainKeys(domain)[round]
	sum := sha256.Sum256(binary.LittleEndian.AppendUint64(key[:], v))
	return binary.LittleEndian.Uint64(sum[:])
}

// domainKeys returns the round keys of a domain, which are derived on first use.
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
