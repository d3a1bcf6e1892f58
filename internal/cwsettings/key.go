package cwsettings

import (
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"
)

// minKeyLength is the minimum length of a key in bytes: 128 bits in
// hexadecimal digits.
const minKeyLength = 32

// maxKeyFileSize is the maximum size of a key file in bytes.
const maxKeyFileSize = 4096

// The permissions that a key file should not have (othersRead) or must not have
// (othersWrite).
const (
	othersRead  = 0o004
	othersWrite = 0o022
)

// ReadKey reads a key file and trims white space around the key. An empty
// path means no key.
func ReadKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}

	info, err := os.Stat(path)
	if err != nil {
		return "", errors.Annotate(err, "key")
	}

	if !info.Mode().IsRegular() || info.Size() > maxKeyFileSize {
		return "", errors.Errorf("key: want a file of at most %d bytes: %s", maxKeyFileSize, path)
	}

	if info.Mode().Perm()&othersWrite != 0 {
		return "", errors.Errorf("key: want a file that only its owner may write (chmod go-w %s)", path)
	}

	raw, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Annotate(err, "key")
	}

	key := strings.TrimSpace(string(raw))
	if len(key) < minKeyLength || strings.ContainsAny(key, " \t\r\n") {
		return "", errors.Errorf("key: want one word of at least %d characters in %s, such as `openssl rand -hex 32` prints", minKeyLength, path)
	}

	return key, nil
}

// CheckKeys reads the key files that the settings name. The warnings are
// about keys that are usable but insecure.
func (s *Settings) CheckKeys() (warnings []string, err error) {
	for _, k := range []struct{ name, path string }{
		{"keys.peers", s.Keys.Peers},
		{"keys.operators", s.Keys.Operators},
	} {
		if _, err := ReadKey(k.path); err != nil {
			return warnings, errors.Annotatef(err, "settings: %q", k.name)
		}

		if info, err := os.Stat(k.path); err == nil && info.Mode().Perm()&othersRead != 0 {
			warnings = append(warnings, fmt.Sprintf("settings: %q: every user of this VM can read the key (chmod o-r %s)", k.name, k.path))
		}
	}

	if s.Keys.Peers != "" && s.Keys.Peers == s.Keys.Operators {
		warnings = append(warnings, `settings: "keys": peers and operators share one key file; give each its own`)
	}

	return warnings, nil
}
