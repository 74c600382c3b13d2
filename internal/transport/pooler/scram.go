package pooler

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
)

const (
	scramMechanism = "SCRAM-SHA-256"
	// gs2Header declares that the client does not support channel binding.
	gs2Header          = "n,,"
	maxSCRAMIterations = 1_000_000 // Bounds the key derivation time that a server can cause.
)

// scramClient is the client side of SCRAM-SHA-256 (RFC 5802, RFC 7677).
type scramClient struct {
	password        string
	clientNonce     string // Client nonce, base64.
	clientFirstBare string // The client-first-message without gs2Header.
	serverSignature []byte // The signature expected in the server-final-message.
}

func newSCRAMClient(password string) *scramClient {
	var nonce [18]byte
	_, _ = rand.Read(nonce[:]) // Never fails, see crypto/rand.
	return &scramClient{password: password, clientNonce: base64.StdEncoding.EncodeToString(nonce[:])}
}

// clientFirst returns the client-first-message. PostgreSQL takes the user
// from the startup message instead.
func (s *scramClient) clientFirst(user string) string {
	s.clientFirstBare = "n=" + user + ",r=" + s.clientNonce
	return gs2Header + s.clientFirstBare
}

// clientFinal returns the client-final-message for a server-first-message.
func (s *scramClient) clientFinal(serverFirst string) (string, error) {
	attributes := parseSCRAMAttributes(serverFirst)
	nonce := attributes['r']
	salt, err := base64.StdEncoding.DecodeString(attributes['s'])
	iterations, iterationsErr := strconv.Atoi(attributes['i'])
	if err != nil || iterationsErr != nil || iterations < 1 || iterations > maxSCRAMIterations ||
		!strings.HasPrefix(nonce, s.clientNonce) || len(nonce) == len(s.clientNonce) {
		return "", errors.New("malformed SCRAM challenge")
	}
	saltedPassword, err := pbkdf2.Key(sha256.New, s.password, salt, iterations, sha256.Size)
	if err != nil {
		return "", errors.Wrap(err, "derive SCRAM key")
	}
	finalWithoutProof := "c=" + base64.StdEncoding.EncodeToString([]byte(gs2Header)) + ",r=" + nonce
	authMessage := s.clientFirstBare + "," + serverFirst + "," + finalWithoutProof
	clientKey := hmacSHA256(saltedPassword, "Client Key")
	storedKey := sha256.Sum256(clientKey)
	clientProof := hmacSHA256(storedKey[:], authMessage)
	subtle.XORBytes(clientProof, clientProof, clientKey)
	s.serverSignature = hmacSHA256(hmacSHA256(saltedPassword, "Server Key"), authMessage)
	return finalWithoutProof + ",p=" + base64.StdEncoding.EncodeToString(clientProof), nil
}

// verifyServerFinal verifies the signature of the server-final-message, which
// proves that the server knows the password too.
func (s *scramClient) verifyServerFinal(serverFinal string) error {
	signature, err := base64.StdEncoding.DecodeString(parseSCRAMAttributes(serverFinal)['v'])
	if err != nil || s.serverSignature == nil || !hmac.Equal(signature, s.serverSignature) {
		return errors.New("backend server failed to prove itself")
	}
	return nil
}

func hmacSHA256(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(text))
	return h.Sum(nil)
}

// parseSCRAMAttributes returns the attributes of a SCRAM message by their letter.
func parseSCRAMAttributes(message string) map[byte]string {
	attributes := map[byte]string{}
	for _, attribute := range strings.Split(message, ",") {
		if len(attribute) > 1 && attribute[1] == '=' {
			attributes[attribute[0]] = attribute[2:]
		}
	}
	return attributes
}

// startSCRAM handles AuthenticationSASL, the server's list of mechanisms, and
// sends SASLInitialResponse.
func (c *Conn) startSCRAM(mechanisms []byte, password string) error {
	offered := false
	for _, m := range strings.Split(string(mechanisms), "\x00") {
		offered = offered || m == scramMechanism
	}
	if !offered {
		return errors.New("backend server offers no SCRAM-SHA-256")
	}
	c.scram = newSCRAMClient(password)
	first := c.scram.clientFirst("")
	out := framer.Begin(nil, 'p')
	out = append(append(out, scramMechanism...), 0, 0, 0, 0, byte(len(first)))
	_, err := c.Write(framer.End(append(out, first...), 0))
	return errors.Wrap(err, "send SCRAM start")
}

// continueSCRAM handles AuthenticationSASLContinue and sends SASLResponse.
func (c *Conn) continueSCRAM(challenge []byte) error {
	if c.scram == nil {
		return errors.New("SCRAM challenge without a start")
	}
	final, err := c.scram.clientFinal(string(challenge))
	if err != nil {
		return err
	}
	_, err = c.Write(framer.AppendFrame(nil, 'p', []byte(final)...))
	return errors.Wrap(err, "send SCRAM answer")
}

// finishSCRAM handles AuthenticationSASLFinal. The login is authenticated only
// after it succeeded, see authenticate.
func (c *Conn) finishSCRAM(final []byte) error {
	if c.scram == nil {
		return errors.New("SCRAM end without a start")
	}
	err := c.scram.verifyServerFinal(string(final))
	if err == nil {
		c.scram = nil
	}
	return err
}
