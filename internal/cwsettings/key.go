package cwsettings

import (
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"
)

// keyLow is the shortest key in bytes: 128 bits in hexadecimal digits.
const keyLow = 32

// keyHigh is the longest key file in bytes.
const keyHigh = 4096

// The permissions of a key file that are too wide.
const (
	othersRead  = 0o004
	othersWrite = 0o022
)

// ReadKey reads a key file. Space around the key is dropped. An empty name
// means no key.
func ReadKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}

	info, err := os.Stat(path)
	if err != nil {
		return "", errors.Annotate(err, "key")
	}

	if !info.Mode().IsRegular() || info.Size() > keyHigh {
		return "", errors.Errorf("key: want a file of at most %d bytes: %s", keyHigh, path)
	}

	if info.Mode().Perm()&othersWrite != 0 {
		return "", errors.Errorf("key: want a file that only its owner may write (chmod go-w %s)", path)
	}

	raw, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Annotate(err, "key")
	}

	key := strings.TrimSpace(string(raw))
	if len(key) < keyLow || strings.ContainsAny(key, " \t\r\n") {
		return "", errors.Errorf("key: want one word of at least %d characters in %s, such as `openssl rand -hex 32` prints", keyLow, path)
	}

	return key, nil
}

// CheckKeys reads the key files that the settings name. The warnings are
// about keys that can be used but should not stay as they are.
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
