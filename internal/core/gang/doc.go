// Package gang starts one gang across cells that different schedulers own. The
// owner of the gang's key coordinates: it reserves room cell by cell in one
// canonical order, with short holds, and starts members only once every cell has
// reserved. Any refusal releases everything. Participants answer for their cell:
// a hold that is not started lapses, and members whose gang is not confirmed as
// whole within a bound are stopped, so the death of a coordinator leaves no part
// of a gang behind.
package gang
