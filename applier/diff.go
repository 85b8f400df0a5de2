package applier

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/parser"
	"burdocklane/storer"
)

func sortNewestFirst(records []assembler.HistoryRecord) {
	slices.SortFunc(records, func(a, b assembler.HistoryRecord) int {
		return cmp.Compare(b.Revision(), a.Revision())
	})
}

// Current reads the configuration from the store. The error is an
// *assembler.IncompleteError if there is none.
func Current(ctx context.Context, store storer.Store, keys assembler.Keys) (descriptor.Deployment, error) {
	page, err := storer.Range(ctx, store, keys.ConfigPrefix())
	if err != nil {
		return descriptor.Deployment{}, err
	}
	return assembler.New(keys).Merge(page.Pairs())
}

// Diff returns a line diff of two configurations. Removed lines start with
// "- ", added lines with "+ " and unchanged lines with two spaces. The diff is
// empty if the configurations are equal.
func Diff(current, desired descriptor.Deployment) ([]string, error) {
	before, err := parser.EncodeDeployment(current)
	if err != nil {
		return nil, err
	}
	after, err := parser.EncodeDeployment(desired)
	if err != nil {
		return nil, err
	}
	if string(before) == string(after) {
		return nil, nil
	}
	return diffLines(strings.Split(string(before), "\n"), strings.Split(string(after), "\n")), nil
}

// diffLines computes a diff from the longest common subsequence of lines, by
// dynamic programming (Hunt and McIlroy, 1976).
func diffLines(before, after []string) []string {
	common := make([][]int, len(before)+1)
	for i := range common {
		common[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var lines []string
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			lines = append(lines, "  "+before[i])
			i++
			j++
		case j == len(after) || (i < len(before) && common[i+1][j] >= common[i][j+1]):
			lines = append(lines, "- "+before[i])
			i++
		default:
			lines = append(lines, "+ "+after[j])
			j++
		}
	}
	return lines
}
