package token

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"

	"github.com/cockroachdb/errors"
)

// KeySize is the length in bytes of a fleet key, the encryption key that all VMs share.
const KeySize = 32

// ErrMalformed means that a token was not sealed with one of the fleet keys for its purpose, or does not have the form of a token.
var ErrMalformed = errors.New("the token is malformed or was sealed with another key")

// purpose is authenticated with a token, so that a token of one kind is not accepted as another.
type purpose string

const (
	purposeSession     purpose = "session"
	purposeTransaction purpose = "transaction"
)

// Sealer encrypts and decrypts tokens with AES-GCM. The first key seals and every key opens, so that keys can be rotated.
type Sealer struct {
	ciphers []cipher.AEAD
}

// New returns a Sealer for fleet keys of KeySize bytes. The Sealer seals with the first key.
func New(keys ...[]byte) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, errors.New("at least one fleet key is needed to seal tokens")
	}
	sealer := &Sealer{}
	for _, key := range keys {
		if len(key) != KeySize {
			return nil, errors.Newf("a fleet key has %d bytes; make it %d bytes long", len(key), KeySize)
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, err
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, err
		}
		sealer.ciphers = append(sealer.ciphers, aead)
	}
	return sealer, nil
}

// seal encrypts a body with the first key.
func (s *Sealer) seal(use purpose, body []byte) (string, error) {
	aead := s.ciphers[0]
	nonce := make([]byte, aead.NonceSize())
	if _, err := rand.Read(nonce); err != nil {
		return "", err
	}
	sealed := aead.Seal(nonce, nonce, body, []byte(use))
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// open decrypts a token with the first key that authenticates it.
func (s *Sealer) open(use purpose, text string) ([]byte, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, ErrMalformed
	}
	for _, aead := range s.ciphers {
		if len(sealed) < aead.NonceSize() {
			return nil, ErrMalformed
		}
		body, err := aead.Open(nil, sealed[:aead.NonceSize()], sealed[aead.NonceSize():], []byte(use))
		if err == nil {
			return body, nil
		}
	}
	return nil, ErrMalformed
}

// SealSession returns the token of a session.
func (s *Sealer) SealSession(session Session) (string, error) {
	body, err := session.encode()
	if err != nil {
		return "", err
	}
	return s.seal(purposeSession, body)
}

// OpenSession decrypts a session token. An empty text gives an empty session.
func (s *Sealer) OpenSession(text string) (Session, error) {
	if text == "" {
		return Session{}, nil
	}
	body, err := s.open(purposeSession, text)
	if err != nil {
		return Session{}, err
	}
	return decodeSession(body)
}

// SealTransaction returns the identifier of a transaction for its caller.
func (s *Sealer) SealTransaction(transaction Transaction) (string, error) {
	body, err := transaction.encode()
	if err != nil {
		return "", err
	}
	return s.seal(purposeTransaction, body)
}

// OpenTransaction decrypts the identifier of a transaction.
func (s *Sealer) OpenTransaction(text string) (Transaction, error) {
	body, err := s.open(purposeTransaction, text)
	if err != nil {
		return Transaction{}, err
	}
	return decodeTransaction(body)
}
