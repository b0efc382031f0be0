package operator

import (
	"crypto/ed25519"
	"encoding/hex"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
)

// keyFileMode prevents other users from reading private keys.
const keyFileMode = 0o600

// WriteKeyFile generates a key pair, writes the private key to a new file and returns the
// public key.
func WriteKeyFile(path string) (bundle.PublicKey, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return "", errors.Annotate(err, "generate key")
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return "", errors.Annotate(err, "create key file")
	}
	_, err = file.WriteString(hex.EncodeToString(private.Seed()) + "\n")
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return bundle.PublicKey(hex.EncodeToString(public)), errors.Annotatef(err, "write key file %s", path)
}

// ReadKeyFile reads a private key that WriteKeyFile wrote.
func ReadKeyFile(path string) (ed25519.PrivateKey, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read key file")
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(body)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.NotValidf("read key file %s: use the file that bundle keygen wrote: key", path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
