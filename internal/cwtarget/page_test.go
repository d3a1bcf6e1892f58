package cwtarget_test

import (
	"reflect"
	"testing"

	"carobward.example/carobward/internal/cwjson"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/internal/cwtest"
)

func TestPageHasEachKey(t *testing.T) {
	cwtest.WantKeys(t, "../../docs/targets.md", cwjson.Keys(reflect.TypeFor[cwtarget.Set]()))
}
