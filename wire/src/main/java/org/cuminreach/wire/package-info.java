/**
 * Messages between cuminreach's processes: conversion between the decisions' values and the Thrift
 * structs that travel.
 */
package org.cuminreach.wire;
