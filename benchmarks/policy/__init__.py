"""Policy experiments: the product's decisions against plain baselines."""
