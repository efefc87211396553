import { expect } from 'chai';

import { ForecastAdmission, CallerTimeoutAdmission } from './Admission.js';
import { createAdmission } from './createAdmission.js';
import { createTaskOrder } from './createTaskOrder.js';
import { FairOrder } from './FairOrder.js';
import { DeadlineOrder } from './TaskOrder.js';

describe('createAdmission and createTaskOrder', () => {
  it('create the configured admission and order', () => {
    expect(createAdmission({ admission: 'patience' }, () => 0)).to.be.instanceOf(CallerTimeoutAdmission);
    expect(createAdmission({ admission: 'forecast' }, () => 0)).to.be.instanceOf(ForecastAdmission);
    expect(createTaskOrder({ taskOrder: 'deadline' })).to.be.instanceOf(DeadlineOrder);
    expect(createTaskOrder({ taskOrder: 'fair' })).to.be.instanceOf(FairOrder);
  });
});
