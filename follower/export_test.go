package follower

// StoreRestores returns how often a store was found to have gone back to an older
// copy.
func StoreRestores() uint64 { return storeRestores.Get() }
