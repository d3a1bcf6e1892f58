package cwconfig_test

import (
	"testing"

	"carobward.example/carobward/internal/lab/cwspread"
)

// TestAgainstNaive runs the product and a naive implementation through the same
// fault scenarios. The naive one must fail each, or the scenario tests nothing.
func TestAgainstNaive(t *testing.T) {
	for name, scenario := range cwspread.Scenarios() {
		t.Run(name, func(t *testing.T) {
			f, _ := joined(t, cwspread.ScenarioVMs)

			if wrong := scenario(cwspread.NewProduct(f)); wrong != "" {
				t.Errorf("product: %s", wrong)
			}

			if wrong := scenario(cwspread.NewNaive(cwspread.ScenarioVMs)); wrong == "" {
				t.Error("the naive implementation passes, so the scenario tests nothing")
			}
		})
	}
}
