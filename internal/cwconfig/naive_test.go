package cwconfig_test

import (
	"testing"

	"carobward.example/carobward/internal/lab/cwspread"
)

// TestAgainstNaive takes both systems through the same faults.
func TestAgainstNaive(t *testing.T) {
	for name, scenario := range cwspread.Scenarios() {
		t.Run(name, func(t *testing.T) {
			f, _ := joined(t, cwspread.ScenarioVMs)

			if wrong := scenario(cwspread.NewProduct(f)); wrong != "" {
				t.Errorf("ours: %s", wrong)
			}

			if wrong := scenario(cwspread.NewNaive(cwspread.ScenarioVMs)); wrong == "" {
				t.Error("the naive one holds, so the scenario proves nothing")
			}
		})
	}
}
