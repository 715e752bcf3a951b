throw new Error('this module is not part of the bundle');
