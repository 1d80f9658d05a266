#ifndef REGRESS_SOAK_ORDER_FAULTS_H
#define REGRESS_SOAK_ORDER_FAULTS_H

#include "regress/random.h"
#include "regress/soak/order_phase.h"

void order_faults_begin(const struct order_phase *p,
			struct random_source *numbers);
void order_faults_step(unsigned int step_ms);
void order_faults_heal(void);
void order_faults_note(const char *fmt, ...)
	__attribute__((format(printf, 1, 2)));

#endif /* REGRESS_SOAK_ORDER_FAULTS_H */
