package secret

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/crocusshore/crocusshore/model"
)

const (
	idBytes     = 9
	secretBytes = 32
	saltBytes   = 16
	// separator stands between the id and the secret in the text of a key.
	separator = "."
)

// Issued is a new key.
type Issued struct {
	ID model.KeyID
	// Text is the key as the caller receives it, with its secret; it is not stored.
	Text string
	// Salt and Hash are stored.
	Salt []byte
	Hash []byte
}

// Issue returns a new random key. Its secret has 256 random bits, so that brute force against a plain
// salted hash is infeasible and a slow hash would only add cost to every request.
func Issue() (Issued, error) {
	random := make([]byte, idBytes+secretBytes+saltBytes)
	if _, err := rand.Read(random); err != nil {
		return Issued{}, err
	}
	id := base64.RawURLEncoding.EncodeToString(random[:idBytes])
	secret := base64.RawURLEncoding.EncodeToString(random[idBytes : idBytes+secretBytes])
	salt := random[idBytes+secretBytes:]
	return Issued{ID: model.KeyID(id), Text: id + separator + secret, Salt: salt, Hash: hash(salt, secret)}, nil
}

// Split splits the text of a key into its id and secret. It returns false if one of them is missing.
func Split(text string) (id model.KeyID, secret string, ok bool) {
	first, second, ok := strings.Cut(text, separator)
	return model.KeyID(first), second, ok && first != "" && second != ""
}

// Verify reports whether a secret matches a salted hash. The comparison takes constant time.
func Verify(salt, want []byte, secret string) bool {
	return subtle.ConstantTimeCompare(hash(salt, secret), want) == 1
}

func hash(salt []byte, secret string) []byte {
	digest := sha256.New()
	digest.Write(salt)
	digest.Write([]byte(secret))
	return digest.Sum(nil)
}
