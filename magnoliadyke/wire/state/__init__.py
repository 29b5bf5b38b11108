__all__ = ['ttypes', 'constants', 'State']
