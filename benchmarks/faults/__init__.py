"""Parts of the randomised fault run: fakes, callers with histories, checker."""
