package cwsettings_test

import (
	"reflect"
	"testing"

	"carobward.example/carobward/internal/cwjson"
	"carobward.example/carobward/internal/cwsettings"
	"carobward.example/carobward/internal/cwtest"
)

func TestPageHasEachKey(t *testing.T) {
	cwtest.WantKeys(t, "../../docs/settings.md", cwjson.Keys(reflect.TypeFor[cwsettings.Settings]()))
}
