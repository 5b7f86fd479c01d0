package config

import (
	"slices"
	"strings"
)

// maxCells limits the size of the table for the comparison of lines. For longer bodies, all lines between the common
// prefix and the common suffix are shown as replaced.
const maxCells = 4 << 20

// DiffLines returns the lines that differ between two bodies: lines only in the old body with "-" before them, lines only in the
// new one with "+".
func DiffLines(before, after []byte) string {
	left, right := splitLines(before), splitLines(after)
	left, right = trimCommonPrefix(left, right)
	slices.Reverse(left)
	slices.Reverse(right)
	left, right = trimCommonPrefix(left, right)
	slices.Reverse(left)
	slices.Reverse(right)
	var out strings.Builder
	if len(left)*len(right) > maxCells {
		writeLines(&out, "-", left)
		writeLines(&out, "+", right)
		return out.String()
	}
	writeDiff(&out, left, right)
	return out.String()
}

// splitLines returns the lines of the body; the last one may lack a line feed.
func splitLines(body []byte) []string {
	if len(body) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(body), "\n"), "\n")
}

// trimCommonPrefix removes the equal lines at the start of both lists.
func trimCommonPrefix(left, right []string) ([]string, []string) {
	for len(left) > 0 && len(right) > 0 && left[0] == right[0] {
		left, right = left[1:], right[1:]
	}
	return left, right
}

func writeLines(out *strings.Builder, sign string, list []string) {
	for _, line := range list {
		out.WriteString(sign + " " + line + "\n")
	}
}

// writeDiff writes the lines that are not in a longest common subsequence of both lists.
func writeDiff(out *strings.Builder, left, right []string) {
	common := commonSuffixLengths(left, right)
	row, column := 0, 0
	for row < len(left) && column < len(right) {
		switch {
		case left[row] == right[column]:
			row++
			column++
		case common[row+1][column] >= common[row][column+1]:
			writeLines(out, "-", left[row:row+1])
			row++
		default:
			writeLines(out, "+", right[column:column+1])
			column++
		}
	}
	writeLines(out, "-", left[row:])
	writeLines(out, "+", right[column:])
}

// commonSuffixLengths returns, for each pair of indexes, the length of the longest common subsequence of the lines from there on.
func commonSuffixLengths(left, right []string) [][]int32 {
	common := make([][]int32, len(left)+1)
	common[len(left)] = make([]int32, len(right)+1)
	for row := len(left) - 1; row >= 0; row-- {
		common[row] = make([]int32, len(right)+1)
		for column := len(right) - 1; column >= 0; column-- {
			if left[row] == right[column] {
				common[row][column] = common[row+1][column+1] + 1
				continue
			}
			common[row][column] = max(common[row+1][column], common[row][column+1])
		}
	}
	return common
}
